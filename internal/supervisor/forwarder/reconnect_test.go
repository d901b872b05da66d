package forwarder

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"banyanquay/internal/driver"
)

// Guards against streams that are sent to more engines than their route allows since a
// connection that this node lost didn't count.
func TestLostConnectionsCountAgainstTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, entries := engines(threeCentres())
		sends := 0
		w := newHarness(t, driver.Relay{
			Probe:  func(context.Context, string) error { return nil },
			CutOff: func(string) bool { return true },
			Send: func(context.Context, string, driver.Forward) (driver.Reply, error) {
				sends++
				return driver.Reply{Status: 200, Signed: true, Header: http.Header{}, Body: io.NopCloser(failingReader{})}, nil
			},
		}, entries...)
		w.send(t.Context(), "POST", pathLLM+"1", "r1", "800,200")
		if got, want := sends, 2; got != want {
			t.Errorf("sends: got %d, want the %d that the route allows", got, want)
		}
	})
}
