package detourer

import (
	"context"
	"testing"
	"testing/synctest"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/linker"
)

// Guards against a message without a result, such as one of a later build, that is taken for
// an accepted order, an idle engine's report or a reached endpoint.
func TestMessageWithoutResult(t *testing.T) {
	for name, fields := range map[string]map[int]any{"empty": {}, "fields of a later build": {200: "reply"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b", "c")
				w.cut(w.refused, "a", true, endpoints...)
				if _, _, err := w.send(t.Context(), "a", "r1"); err != nil {
					t.Fatal(err)
				}
				data, err := encoder.CBOR(fields)
				if err != nil {
					t.Fatal(err)
				}
				a := w.nodes["a"]
				a.cfg.Open = func(context.Context, string, []byte) (linker.Conn, bool, error) {
					return linker.Conn{Receive: func() ([]byte, error) { return data, nil }, Close: func() {}}, true, nil
				}
				relay := a.Relay()
				if _, _, err := w.send(t.Context(), "a", "r2"); err == nil || isUnsent(err) {
					t.Errorf("request: got %v, want an error that doesn't say that nothing was sent", err)
				}
				if err := relay.Place(t.Context(), endpoints[1], "", driver.Placement{}); err == nil || isUnsent(err) {
					t.Errorf("order: got %v, want an error that doesn't say that nothing was sent", err)
				}
				if got, err := relay.Report(t.Context(), endpoints[1], ""); err == nil {
					t.Errorf("report: got %+v, want an error", got)
				}
				if err := relay.Probe(t.Context(), endpoints[1]); err == nil {
					t.Error("probe: got no error, want one")
				}
				if err := a.probeVia(t.Context(), "b", endpoints[1]); err == nil {
					t.Error("probe for a check: got no error, want one")
				}
			})
		})
	}
}
