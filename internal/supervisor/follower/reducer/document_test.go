package reducer

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
)

// newerTemplate is a template with a field that this release doesn't know.
type newerTemplate struct {
	Name   string `cbor:"name"`
	Colour string `cbor:"colour"`
}

// newerChange and newerRecord are encoded by a release that knows the field.
type newerChange struct {
	ID           string        `cbor:"1,keyasint"`
	Organisation string        `cbor:"2,keyasint"`
	Template     newerTemplate `cbor:"6,keyasint"`
}

type newerRecord struct {
	Change newerChange `cbor:"1,keyasint"`
}

// TestSnapshotsKeepUnknownFields guards against the loss of fields during an
// upgrade: a fleet runs two releases then, and the node that appends the snapshots
// may run the older one.
func TestSnapshotsKeepUnknownFields(t *testing.T) {
	data, err := encoder.CBOR(newerRecord{newerChange{
		ID: "c", Organisation: "acme", Template: newerTemplate{Name: "acme", Colour: "ochre"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	older, _ := State{}.Fold(provider.Page{Next: 1, Records: []provider.Record{{Data: data}}})
	for range 2 {
		encoded, err := older.Snapshot("s")[0].Encode()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(encoded, []byte("ochre")) {
			t.Fatalf("got a snapshot of %d bytes without the unknown field", len(encoded))
		}
		next := older.Next()
		record := provider.Record{Offset: next, Data: encoded}
		page := provider.Page{First: next, FirstAt: 1, Next: next + 1, Records: []provider.Record{record}}
		older, _ = State{}.Fold(page)
	}
	if e, _ := older.Entry("acme"); e.Revision != 1 || e.Template.Name != "acme" {
		t.Errorf("got %+v, want revision 1 of acme", e)
	}
}

func TestDocsListEveryVerdict(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	for v := Accepted; !strings.HasPrefix(v.String(), "Verdict("); v++ {
		if !bytes.Contains(page, []byte("`"+v.String()+"`")) {
			t.Errorf("docs/CONFIGURATION.md lacks the counter %s", v)
		}
	}
}
