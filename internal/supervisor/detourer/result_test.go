package detourer

import (
	"context"
	"io"
	"net/http"
	"strings"
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

// Guards against an answer that a node of an earlier build hands on although its head is none of
// HTTP, or says that the request did not run.
func TestUnsoundHeadOfAnotherNode(t *testing.T) {
	replies := map[string]driver.Reply{
		"status 000":              {Status: 0, Signed: true},
		"status 099":              {Status: 99, Signed: true, Echoed: true, NotRun: true},
		"status 999":              {Status: 999, Signed: true},
		"a blank in a name":       {Status: 200, Signed: true, Header: http.Header{"X Bad": {"v"}}},
		"a blank after the name":  {Status: 200, Signed: true, Header: http.Header{"Transfer-Encoding ": {"chunked"}}},
		"a control byte":          {Status: 200, Signed: true, Header: http.Header{"X\x01Bad": {"v"}}},
		"the head of another one": {Status: 200, Signed: true, Header: http.Header{"X-Long": {"aHTTP/1.1 500 X"}}},
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b", "c")
				w.cut(w.refused, "a", true, endpoints...)
				w.answer = func(context.Context) (driver.Reply, error) {
					r := reply
					r.Body = io.NopCloser(strings.NewReader("whole"))
					return r, nil
				}
				got, err := w.nodes["a"].Relay().Send(t.Context(), endpoints[0], driver.Forward{ID: "r"})
				if err == nil || isUnsent(err) || got.NotRun {
					t.Errorf("got %+v, %v, want an error that doesn't say that the request did not run", got, err)
				}
				if got, want := len(w.arrivals), 1; got != want {
					t.Errorf("arrivals: got %v, want one", w.arrivals)
				}
			})
		})
	}
}
