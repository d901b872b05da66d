package forwarder

import (
	"testing"

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
