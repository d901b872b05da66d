package forwarder

import (
	"slices"
	"strings"
	"testing"
	"time"

	"banyanquay/internal/registrar"
)

// An endpoint has ended, but its entry is still listed, and an endpoint of another
// service has started at its address.
func TestReusedAddressBelongsToNewestEndpoint(t *testing.T) {
	got := dropReplaced([]registrar.Entry{
		{ID: "old", Service: "desk", Address: "a:1", Born: 1},
		{ID: "new", Service: "llm", Address: "a:1", Born: 2},
		{ID: "other", Service: "desk", Address: "b:1", Born: 1},
	})
	if len(got) != 2 || got[0].ID != "new" || got[1].ID != "other" {
		t.Errorf("got %v, want new and other", got)
	}
}

// Guards against entries of other writers that change what is known of the endpoints: one of no
// service of the configuration hid the endpoint with its address, and one with layers that the
// model doesn't have decided which version of the weights new streams use.
func TestOddEntriesChangeNoIndex(t *testing.T) {
	_, entries := engines(map[string][][2]int{"a": {{0, 40}, {40, 80}}})
	entries = append(entries, plainEntries()...)
	odd := map[string]registrar.Entry{
		"no service of the configuration": {ID: "w", Service: "none", Address: "d1:1", Centre: "a", Slots: 6, Born: 9},
		"more layers than the model":      {ID: "w", Service: "llm", Address: "w:1", Centre: "a", Accelerator: "l4", Version: "7", Last: 1 << 20, Slots: 192, Born: 9},
		"layers beyond the model":         {ID: "w", Service: "llm", Address: "a0:1", Centre: "a", Accelerator: "l4", Version: "7", First: 80, Last: 1000, Slots: 192, Born: 9},
		"layers below the first":          {ID: "w", Service: "llm", Address: "a1:1", Centre: "a", Accelerator: "l4", Version: "7", First: -100, Last: 80, Slots: 192, Born: 9},
	}
	for name, e := range odd {
		t.Run(name, func(t *testing.T) {
			var changes []registrar.Change
			for _, entry := range append(slices.Clone(entries), e) {
				changes = append(changes, registrar.Change{ID: entry.ID, Entry: &entry})
			}
			table := registrar.Table{}.With(time.Now(), time.Now(), changes)
			index := newEndpointIndex(&table, newConfiguration(routes()))
			for service, want := range map[string]string{"desk": "d1 d2", "llm": "a0 a1"} {
				var ids []string
				for _, e := range index.services[service].entries {
					ids = append(ids, e.ID)
				}
				if got := strings.Join(ids, " "); got != want {
					t.Errorf("%s: got endpoints %s, want %s", service, got, want)
				}
			}
			if got, want := index.services["llm"].versions, []string{"1"}; !slices.Equal(got, want) {
				t.Errorf("versions: got %v, want %v", got, want)
			}
		})
	}
}
