package describer

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/encoder"
)

const goodTOML = `
name = "acme"
share = 0.25
priority = 3
key_hashes = ["` + hash + `"]

[model]
name = "m-70b"
version = "${release}"
adapter = "acme-${release}"

[[routes]]
service = "orders"
method = "POST"
path = "/orders"
non_idempotent = true
checks = "key"
timeout = "2.5s"

[parameters]
release = "7"
`

const hash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// good is the template of goodTOML.
func good() Template {
	return Template{
		Name: "acme", Share: 0.25, Priority: 3, KeyHashes: []string{hash},
		Model: Model{Name: "m-70b", Version: "${release}", Adapter: "acme-${release}"},
		Routes: []Route{{
			Service: "orders", Method: "POST", Path: "/orders", NonIdempotent: true,
			Checks: ChecksKey, Timeout: 2500 * time.Millisecond,
		}},
		Parameters: map[string]string{"release": "7"},
	}
}

func TestTemplateRoundTrip(t *testing.T) {
	want := good()
	got, faults := ParseTOML([]byte(goodTOML))
	if len(faults) > 0 || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v and %v from TOML, want %+v", got, faults, want)
	}
	data, err := encoder.JSON(got)
	if err != nil {
		t.Fatal(err)
	}
	if got, faults = ParseJSON(data); len(faults) > 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and %v from strict JSON, want %+v", got, faults, want)
	}
	if got, err = encoder.FromJSON[Template](data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and %v from JSON, want %+v", got, err, want)
	}
	if data, err = encoder.CBOR(want); err != nil {
		t.Fatal(err)
	}
	if got, err = encoder.FromCBOR[Template](data); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and %v from CBOR, want %+v", got, err, want)
	}
	expanded, _ := Expand(want)
	if got, want := expanded.Model.Adapter, "acme-7"; got != want {
		t.Errorf("got adapter %q, want %q", got, want)
	}
}

// wantFaults checks the number of faults and the prefix of each.
func wantFaults(t *testing.T, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %d faults, want %d:\n%s", len(got), len(want), strings.Join(got, "\n"))
	}
	for i := range got {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("got fault %q, want %q", got[i], want[i])
		}
	}
}

func TestEveryFaultIsListed(t *testing.T) {
	bad := `name = "Acme!"
share = 1.5
priority = 12
colour = "red"
key_hashes = ["abc", "` + hash + `", "` + hash + `"]
[model]
name = "${missing}"
version = "1"
flavour = 3
[[routes]]
service = "orders"
method = "FETCH"
path = "orders/../x"
checks = "maybe"
timeout = "soon"
[parameters]
unused = "x"
`
	want := []string{
		"line 4: unknown field colour", "line 9: unknown field model.flavour",
		"routes[0].timeout", "model.name: parameter \"missing\"", "parameters.unused: is not used",
		"name:", "model.name:", "share:", "priority:", "key_hashes[0]: is not", "key_hashes[2]: is listed twice",
		"routes[0].method", "routes[0].path", "routes[0].checks",
	}
	_, faults := ParseTOML([]byte(bad))
	wantFaults(t, faults, want)
}

func TestJSONFaultsHaveLines(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"unknown, duplicate and other case": {
			text: "{\n\"name\": \"acme\", \"share\": 1,\n\"colour\": {\"a\": [1]},\n\"share\": 1,\n\"Priority\": 1,\n" +
				"\"model\": {\"name\": \"m\", \"version\": \"1\",\n\"x\": 1}, \"key_hashes\": [\"" + hash + "\"]}",
			want: []string{
				"line 3: unknown field colour", "line 4: duplicate field share",
				"line 5: unknown field Priority", "line 7: unknown field model.x",
			},
		},
		"wrong type": {text: "{\n\"share\": \"much\"}", want: []string{"line 2: share: got string, want float64"}},
		"syntax":     {text: "{\n\n]", want: []string{"line 3: invalid character"}},
		"cut off":    {text: "{\n", want: []string{"line 2: unexpected end"}},
		"two values": {text: "{} {}", want: []string{"line 1: invalid character"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, faults := ParseJSON([]byte(tt.text))
			wantFaults(t, faults, tt.want)
		})
	}
}

func TestCheckBounds(t *testing.T) {
	tests := map[string]struct {
		change func(t *Template)
		want   []string
	}{
		"good":               {func(*Template) {}, nil},
		"share not a number": {func(t *Template) { t.Share = nan() }, []string{"share:"}},
		"share zero":         {func(t *Template) { t.Share = 0 }, []string{"share:"}},
		"no keys":            {func(t *Template) { t.KeyHashes = nil }, []string{"key_hashes:"}},
		"services only":      {func(t *Template) { t.Model, t.Parameters = Model{}, nil }, nil},
		"neither": {
			func(t *Template) { t.Model, t.Parameters, t.Routes = Model{}, nil, nil },
			[]string{"model: is missing"},
		},
		"parameter in a key": {func(t *Template) { t.KeyHashes = []string{"${release}"} }, []string{"key_hashes[0]:"}},
		"route twice":        {func(t *Template) { t.Routes = append(t.Routes, t.Routes[0]) }, []string{"routes[1]: repeats"}},
		"long timeout":       {func(t *Template) { t.Routes[0].Timeout = time.Hour }, []string{"routes[0].timeout:"}},
		"nested parameter": {
			func(t *Template) { t.Parameters = map[string]string{"release": "${release}"} },
			[]string{"model.version:", "model.adapter:"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			template := good()
			tt.change(&template)
			wantFaults(t, Check(template), tt.want)
		})
	}
}

func nan() float64 {
	zero := 0.0
	return zero / zero
}

func TestRoute(t *testing.T) {
	o := Organisation{Template: Template{Routes: []Route{
		{Service: "shop", Method: "*", Path: "/"},
		{Service: "shop", Method: "POST", Path: "/orders", NonIdempotent: true},
		{Service: "shop", Method: "*", Path: "/orders/drafts"},
		{Service: "shop", Method: "GET", Path: "/tickets/next", NonIdempotent: true},
		{Service: "club", Method: "GET", Path: "/scores"},
	}}}
	tests := []struct {
		service, method, path string
		want                  string
		nonIdempotent         bool
	}{
		{"shop", "POST", "/orders", "/orders", true},
		{"shop", "post", "/orders/7?dry=1", "/orders", true},
		{"shop", "POST", "/ordersheet", "/", false},
		{"shop", "GET", "/orders", "/", false},
		{"shop", "POST", "/orders/drafts/1", "/orders/drafts", false},
		{"shop", "POST", "//orders", "/orders", true},
		{"shop", "POST", "/x/../orders", "/orders", true},
		{"shop", "POST", "/./orders/", "/orders", true},
		{"shop", "POST", "/orders/drafts/../7", "/orders", true},
		{"shop", "POST", "/orders/drafts/%2e%2e/7", "/orders", true},
		{"shop", "POST", "/orders/drafts/%252e%252e/7", "/orders", true},
		{"shop", "POST", `/x\..\orders`, "/orders", true},
		{"shop", "POST", "/%6frders", "/orders", true},
		{"shop", "POST", "/x%2f..%2forders", "/orders", true},
		{"shop", "POST", "/ORDERS", "/orders", true},
		{"shop", "POST", `/orders/a\..\..`, "/orders", true},
		{"shop", "POST", `/x/..;y\orders`, "/orders", true},
		{"shop", "POST", "/%zz/%2e%2e/orders", "", false},
		{"shop", "POST", "/orders;a=b/7", "/orders", true},
		{"shop", "POST", "/x/..;/orders", "/orders", true},
		{"shop", "HEAD", "/tickets/next", "/tickets/next", true},
		{"club", "GET", "/scores/1", "/scores", false},
		{"club", "POST", "/scores", "", false},
		{"none", "GET", "/", "", false},
	}
	for _, tt := range tests {
		r, ok := o.Route(tt.service, tt.method, tt.path)
		if ok != (tt.want != "") || r.Path != tt.want || r.NonIdempotent != tt.nonIdempotent {
			t.Errorf("%s %s %s: got %q, non-idempotent %t, want %q, %t",
				tt.service, tt.method, tt.path, r.Path, r.NonIdempotent, tt.want, tt.nonIdempotent)
		}
	}
}

// TestEquivalentPathsAreNonIdempotent generates equivalent spellings of a path. If
// one of them missed the non-idempotent route, a service that normalises the path
// could execute the call twice.
func TestEquivalentPathsAreNonIdempotent(t *testing.T) {
	o := Organisation{Template: Template{Routes: []Route{
		{Service: "s", Method: "*", Path: "/"},
		{Service: "s", Method: "POST", Path: "/fees", NonIdempotent: true},
		{Service: "s", Method: "*", Path: "/fees/quotes"},
	}}}
	redundantSegments := []string{"", ".", "x/..", "fees/quotes/../..", "%2e", "x/%2E%2e", "x/..;y"}
	names := []string{"fees", "Fees", "%66ees", "fees;v=1"}
	rapid.Check(t, func(t *rapid.T) {
		segments := rapid.SliceOfN(rapid.SampledFrom(redundantSegments), 0, 3).Draw(t, "redundant segments")
		segments = append(segments, rapid.SampledFrom(names).Draw(t, "name"))
		slash := rapid.SampledFrom([]string{"/", "//", "%2f", `\`}).Draw(t, "slash")
		path := "/" + strings.Join(segments, slash) + rapid.SampledFrom([]string{"", "/", "/7", "?q=/fees/quotes"}).Draw(t, "rest")
		if r, ok := o.Route("s", "POST", path); !ok || !r.NonIdempotent {
			t.Fatalf("%s: got route %q, non-idempotent %t", path, r.Path, r.NonIdempotent)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodTOML))
	f.Add([]byte(`{"name":"a","routes":[{"timeout":"1s"}],"parameters":{"a":null}}`))
	f.Add([]byte(`{"model":[],"routes":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, parse := range []func([]byte) (Template, []string){ParseTOML, ParseJSON} {
			template, faults := parse(data)
			if len(faults) > 0 {
				continue
			}
			text, err := json.Marshal(template)
			if err != nil {
				t.Fatal(err)
			}
			if _, faults := ParseJSON(text); len(faults) > 0 {
				t.Errorf("got %v of a template without faults", faults)
			}
		}
	})
}

func TestRequestedModel(t *testing.T) {
	o := Organisation{Template: Template{Model: Model{
		Name: "durum", Version: "v2", Adapter: "desk", Allowed: []string{"rye", "spelt:v7"},
	}}}
	tests := []struct {
		name string
		want Model
		ok   bool
	}{
		{"", o.Template.Model, true},
		{"durum", o.Template.Model, true},
		{"rye", Model{Name: "rye", Version: "v2"}, true},
		{"spelt", Model{Name: "spelt", Version: "v7"}, true},
		{"spelt:v7", Model{}, false},
		{"oats", Model{}, false},
	}
	for _, tt := range tests {
		got, ok := o.Model(tt.name)
		if ok != tt.ok || got.Name != tt.want.Name || got.Version != tt.want.Version || got.Adapter != tt.want.Adapter {
			t.Errorf("%q: got %+v, %v, want %+v, %v", tt.name, got, ok, tt.want, tt.ok)
		}
	}
}
