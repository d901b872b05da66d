package detourer

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/linker"
)

// notUTF8 is the value of a header in ISO 8859-1.
const notUTF8 = "inline; filename=\"Best\xe4tigung.txt\""

// Guards against requests that take a detour and run again since a header of theirs or of
// their answer isn't UTF-8, and against such headers being lost.
func TestHeadersThatAreNotUTF8TakeADetour(t *testing.T) {
	odd := http.Header{"Content-Disposition": {notUTF8}}
	for name, header := range map[string]struct{ request, answer http.Header }{
		"of the request": {request: odd}, "of the answer": {answer: odd},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b", "c")
				w.cut(w.refused, "a", true, endpoints...)
				w.answer = func(context.Context) (driver.Reply, error) {
					return driver.Reply{Status: 200, Signed: true, Header: header.answer, Body: io.NopCloser(strings.NewReader("whole"))}, nil
				}
				for _, node := range []string{"b", "c"} {
					direct := w.nodes[node].cfg.Direct.Send
					w.nodes[node].cfg.Direct.Send = func(ctx context.Context, address string, f driver.Forward) (driver.Reply, error) {
						if !maps.EqualFunc(f.Header, header.request, slices.Equal) {
							t.Errorf("header of the request: got %q, want %q", f.Header, header.request)
						}
						return direct(ctx, address, f)
					}
				}
				reply, err := w.nodes["a"].Relay().Send(t.Context(), endpoints[0], driver.Forward{ID: "r", Header: header.request})
				if got, want := len(w.arrivals), 1; got != want {
					t.Errorf("arrivals: got %v, want one", w.arrivals)
				}
				if err != nil {
					t.Fatalf("got %v, want an answer", err)
				}
				defer reply.Body.Close()
				if !maps.EqualFunc(reply.Header, header.answer, slices.Equal) {
					t.Errorf("header of the answer: got %q, want %q", reply.Header, header.answer)
				}
			})
		})
	}
}

// Guards against requests that run twice since the answer of the node that made the call
// can't be decoded.
func TestUndecodableAnswerIsNotUnsent(t *testing.T) {
	encode := func(v any) []byte {
		data, err := encoder.CBOR(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	cases := []struct {
		name   string
		data   []byte
		unsent bool
	}{
		{"nothing", []byte{}, false},
		{"no CBOR", []byte("\xff\xfe garbage"), false},
		{"cut off", []byte{0xa1, 0x01}, false},
		{"fields of another type", encode(map[int]any{1: "reply"}), false},
		{"an error of a query", encode([]any{nil, "unexpected error"}), false},
		{"an answer of a query", encode([]any{[]byte("body"), ""}), false},
		{"a build without detours", encode([]any{nil, "no handler for this subject"}), true},
		{"the node is stopping", encode(message{Failure: unable("the node is stopping")}), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld("a", "b", "c", "d")
				w.cut(w.refused, "a", true, endpoints...)
				if _, _, err := w.send(t.Context(), "a", "r1"); err != nil {
					t.Fatal(err)
				}
				var sends atomic.Int32
				w.nodes["a"].cfg.Open = func(_ context.Context, _ string, query []byte) (linker.Conn, bool, error) {
					if r, err := encoder.FromCBOR[request](query); err == nil && r.Operation == sendOperation {
						sends.Add(1)
					}
					return linker.Conn{Receive: func() ([]byte, error) { return c.data, nil }, Close: func() {}}, true, nil
				}
				_, _, err := w.send(t.Context(), "a", "r2")
				if got, want := isUnsent(err), c.unsent; err == nil || got != want {
					t.Errorf("got %v, unsent %v, want %v", err, got, want)
				}
				if got, want := sends.Load(), int32(1); !c.unsent && got != want {
					t.Errorf("the request was handed to %d nodes, want %d", got, want)
				}
				placed := w.nodes["a"].Relay().Place(t.Context(), endpoints[1], "", driver.Placement{})
				if got, want := isUnsent(placed), c.unsent; placed == nil || got != want {
					t.Errorf("order: got %v, unsent %v, want %v", placed, got, want)
				}
			})
		})
	}
}

// Guards against requests that nodes of earlier builds send again: they take a message with a
// string that isn't UTF-8 for one that says that nothing was sent.
func TestEarlierBuildsDecodeAllMessages(t *testing.T) {
	strict, err := cbor.DecOptions{}.DecMode()
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		reply driver.Reply
		err   error
	}{
		{"header", driver.Reply{Status: 200, Header: http.Header{"A": {"b", notUTF8}}}, nil},
		{"address of the endpoint at fault", driver.Reply{Status: 503, NotRun: true, Fault: "\xff"}, nil},
		{"version", driver.Reply{Status: 200, Version: "\xff"}, nil},
		{"error", driver.Reply{}, errors.New("malformed header line: " + notUTF8)},
		{"detail of a refusal", driver.Reply{}, &driver.Refused{Reason: "state", Detail: notUTF8}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld("a", "b")
			w.nodes["b"].cfg.Direct.Send = func(context.Context, string, driver.Forward) (driver.Reply, error) {
				c.reply.Body = io.NopCloser(strings.NewReader("body"))
				return c.reply, c.err
			}
			query, err := encoder.CBOR(request{Operation: sendOperation, Address: endpoints[0], Forward: &driver.Forward{ID: "r"}})
			if err != nil {
				t.Fatal(err)
			}
			var first []byte
			w.nodes["b"].Serve(t.Context(), query, func(data []byte) error {
				if first == nil {
					first = data
				}
				return nil
			})
			var m message
			if err := strict.Unmarshal(first, &m); err != nil {
				t.Fatalf("an earlier build can't decode the message: %v", err)
			}
			if m.Failure == nil || m.Failure.Unsent {
				t.Errorf("got %+v, want a failure that doesn't say that nothing was sent", m)
			}
		})
	}
}

// Guards against an answer that breaks off and is taken for a request that wasn't sent.
func TestFailureAfterTheHeadIsNotUnsent(t *testing.T) {
	var parts [][]byte
	for _, m := range []message{{Data: []byte("be")}, {Failure: unable("the node is stopping")}} {
		data, err := encoder.CBOR(m)
		if err != nil {
			t.Fatal(err)
		}
		parts = append(parts, data)
	}
	b := &body{conn: linker.Conn{Receive: func() ([]byte, error) {
		data := parts[0]
		parts = parts[1:]
		return data, nil
	}}}
	got, err := io.ReadAll(b)
	if string(got) != "be" || err == nil || isUnsent(err) {
		t.Errorf("got %q, %v, want the begun answer and an error that doesn't say that nothing was sent", got, err)
	}
}
