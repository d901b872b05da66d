package simulator

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
)

// smallPattern is a pattern with a small fleet that is simulated quickly.
const smallPattern = `
name = "small"
seconds = 4
lead_seconds = 8
kinds = [{ name = "large", mb = 80000, pace = 3, read_pace = 3 }]
centres = [
  { name = "a", nodes = 1, streams = 6, engines = { large = 3 } },
  { name = "b", nodes = 1, streams = 6, engines = { large = 3 } },
]
[streams]
prompt = { mean = 600, spread = 0.5, most = 2000 }
events = { mean = 20, spread = 0.5, most = 60 }
first_ms = 500
gap_ms = 200
deadline_ms = 20000
`

func TestParseNamesBadValues(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"length", "seconds = 4", "seconds = 0", "seconds: got 0"},
		{"unknown field", "gap_ms = 200", "gap_ms = 200\nspeed = 3", "speed"},
		{"kind", "engines = { large = 3 } },\n]", "engines = { tiny = 3 } },\n]", `centre b: no kind "tiny"`},
		{"nodes", `"a", nodes = 1`, `"a", nodes = 0`, "centre a: got 0 nodes"},
		{"no text", smallPattern, "seconds = [", "toml"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(smallPattern, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got error %v, want one with %q", err, test.want)
			}
		})
	}
	for text, want := range map[string]string{
		"kind = \"flood\"": `kind "flood"`, "at = 1": "trouble 1: got no kind", "kind = \"slow\"\nshare = 2": "trouble 1: got share 2",
	} {
		if _, err := Parse([]byte(smallPattern + "[[troubles]]\n" + text + "\n")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one with %q", text, err, want)
		}
	}
}

func TestBuiltinPatternsAreValid(t *testing.T) {
	if len(Patterns()) == 0 {
		t.Fatal("got no patterns")
	}
	for _, name := range Patterns() {
		if p, err := Load(name); err != nil || p.Name != name {
			t.Errorf("pattern %s: got name %q and error %v", name, p.Name, err)
		}
	}
	if _, err := Load("nothing"); err == nil || !strings.Contains(err.Error(), "quiet") {
		t.Errorf("got error %v, want one that lists the patterns", err)
	}
}

// simulate simulates the small pattern with a fault or load change.
func simulate(t *testing.T, policy Policy, trouble string) (r Result) {
	t.Helper()
	p, err := Parse([]byte(smallPattern + trouble))
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(*testing.T) { r = Simulate(Setup{Pattern: p, Policy: policy, Seed: 1}) })
	if got := r.InAim + r.Late + r.Refused + r.Cut; got != r.Streams || r.Streams == 0 {
		t.Errorf("got %d outcomes of %d streams", got, r.Streams)
	}
	return r
}

func TestSimulate(t *testing.T) {
	for _, policy := range Policies() {
		t.Run(policy.Name, func(t *testing.T) {
			if r := simulate(t, policy, ""); r.Share < 0.99 {
				t.Errorf("calm: got share %v in aim, want 0.99: %+v", r.Share, r)
			}
		})
	}
	product := Policies()[0]
	t.Run("crash", func(t *testing.T) {
		r := simulate(t, product, "[[troubles]]\nkind = \"crash\"\nat = 2\nfor = 1\nshare = 0.17\n")
		if r.Share < 0.9 {
			t.Errorf("a crash of one engine of six: got share %v in aim, want 0.9: %+v", r.Share, r)
		}
		r = simulate(t, product, "[[troubles]]\nkind = \"crash\"\nat = 2\nfor = 1\nshare = 1\n")
		if got, want := r.Streams-r.InAim, r.Streams/4; got < want {
			t.Errorf("a crash of all engines: got %d streams not in aim, want at least %d: %+v", got, want, r)
		}
	})
	t.Run("slow", func(t *testing.T) {
		calm := simulate(t, product, "")
		r := simulate(t, product, "[[troubles]]\nkind = \"slow\"\nat = 0\nfor = 4\nshare = 1\nfactor = 3\n")
		if got, want := r.Between.P50, 2*calm.Between.P50; got < want {
			t.Errorf("engines three times slower: got %v ms between events, want at least %v", got, want)
		}
	})
	t.Run("shed", func(t *testing.T) {
		r := simulate(t, product, "[[troubles]]\nkind = \"shed\"\nat = 0\nfor = 4\nshare = 1\nfactor = 1\n")
		if r.Refused < r.Streams*9/10 {
			t.Errorf("engines that turn all away: got %d of %d refused", r.Refused, r.Streams)
		}
	})
}

func TestSizesHaveTheirMean(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 1))
	s := newSizeSampler(Size{Mean: 700, Spread: 1, Max: 2000})
	sum := 0
	const n = 20000
	for range n {
		size := s.draw(dice)
		if size < 1 || size > 2000 {
			t.Fatalf("got size %d, want 1 to 2000", size)
		}
		sum += size
	}
	if got := float64(sum) / n; math.Abs(got-700) > 15 {
		t.Errorf("got mean %v, want 700", got)
	}
}

func TestResultsAreWritten(t *testing.T) {
	results := []Result{
		{Pattern: "p", Policy: "one", Streams: 4, InAim: 2, Share: 0.5, Seconds: []Second{{2, 2}, {2, 0}}},
		{Pattern: "p", Policy: "one", Seed: 1, Streams: 2, InAim: 2, Share: 1, Seconds: []Second{{1, 1}, {1, 1}}},
	}
	var table, text bytes.Buffer
	if err := Table(&table, results); err != nil || !strings.Contains(table.String(), "0.500") {
		t.Errorf("got table %q and error %v", table.String(), err)
	}
	if err := JSON(&text, results); err != nil {
		t.Error(err)
	}
	var got []Result
	if err := json.Unmarshal(text.Bytes(), &got); err != nil || len(got) != 2 || got[0].InAim != 2 {
		t.Errorf("got %+v and error %v back from JSON", got, err)
	}
	lines, names := curves(results)
	if len(names) != 1 || lines[names[0]][0].Y != 1 || lines[names[0]][1].Y != 1.0/3 {
		t.Errorf("got curves %v of %v, want shares 1 and 1/3", lines, names)
	}
	file := filepath.Join(t.TempDir(), "plot.svg")
	if err := Plot(file, results); err != nil {
		t.Error(err)
	}
	if data, err := os.ReadFile(file); err != nil || !bytes.Contains(data, []byte("<svg")) {
		t.Errorf("got %d bytes and error %v, want an SVG", len(data), err)
	}
	if err := Plot("plot.txt", results); err == nil {
		t.Error("got no error for a plot in a text file")
	}
}
