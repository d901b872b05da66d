package forwarder

import (
	"testing"

	"banyanquay/internal/registrar"
)

// An endpoint of another service has taken the address of one that is gone and
// whose entry is still there.
func TestReusedAddressIsItsLastEndpoints(t *testing.T) {
	got := dropReplaced([]registrar.Entry{
		{ID: "old", Service: "desk", Address: "a:1", Born: 1},
		{ID: "new", Service: "llm", Address: "a:1", Born: 2},
		{ID: "other", Service: "desk", Address: "b:1", Born: 1},
	})
	if len(got) != 2 || got[0].ID != "new" || got[1].ID != "other" {
		t.Errorf("got %v, want new and other", got)
	}
}
