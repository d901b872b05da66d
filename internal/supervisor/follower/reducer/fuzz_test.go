package reducer

import (
	"reflect"
	"testing"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// FuzzFold folds a record of arbitrary bytes between valid ones, in a state without
// and in one with a gap. Neither may fail, the first stays complete unless the
// record is a restore, and folding is deterministic.
func FuzzFold(f *testing.F) {
	template := Document{Template: describer.Template{Name: "a", KeyHashes: []string{"h"}}}
	seeds := []Record{
		{Change: &Change{ID: "c", Organisation: "a", Template: template}},
		{Change: &Change{ID: "c", Organisation: "a", Base: 1, Remove: true}},
		{Snapshot: &Snapshot{ID: "s", AsOf: 1, Parts: 2}},
		{Snapshot: &Snapshot{ID: "r", AsOf: 1, Parts: 1, Staged: true}},
		{Restore: &Restore{ID: "r", AsOf: 1}},
		{},
	}
	for _, seed := range seeds {
		data, err := seed.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		good, err := Record{Change: &Change{ID: "good", Organisation: "a", Template: template}}.Encode()
		if err != nil {
			t.Fatal(err)
		}
		for _, first := range []provider.Offset{0, 1} {
			page := provider.Page{First: first, FirstAt: int64(first), Next: first + 3}
			for i, bytes := range [][]byte{good, data, good} {
				page.Records = append(page.Records, provider.Record{Offset: first + provider.Offset(i), Data: bytes})
			}
			one, _ := State{}.Fold(page)
			two, _ := State{}.Fold(page)
			if !reflect.DeepEqual(one, two) {
				t.Error("got two states of one page")
			}
			if one.Next() != first+3 {
				t.Errorf("got next %d, want %d", one.Next(), first+3)
			}
			if r, err := decode(page.Records[1]); first == 0 && !one.complete && (err != nil || r.Restore == nil) {
				t.Error("a record made a complete state incomplete")
			}
		}
	})
}
