package linker

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/encoder"
)

// node is a linker behind an HTTP server on loopback.
type node struct {
	*Linker
	address  string
	received chan []byte
	up       chan Link
	outgoing chan []byte
}

func startNode(t *testing.T, incarnation, secret string) *node {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	n := &node{
		address:  server.Listener.Addr().String(),
		received: make(chan []byte, 16), up: make(chan Link, 16), outgoing: make(chan []byte, 1),
	}
	n.Linker = New(Config{Address: n.address, Incarnation: incarnation, Secret: secret, Counters: counter.New()})
	n.Register(Nodes, Topic{
		LinkUp:   func(l Link) { n.up <- l },
		LinkDown: func(Link) {},
		Flush: func(Link) []byte {
			select {
			case body := <-n.outgoing:
				return body
			default:
				return nil
			}
		},
		Receive: func(_ Link, body []byte) { n.received <- body },
	})
	n.Handle(Drains, func(body []byte) ([]byte, error) { return append([]byte("answer to "), body...), nil })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Step().Run(ctx)
	}()
	for n.context() == nil {
		time.Sleep(time.Millisecond)
	}
	server.Config.Handler = n.Handler()
	server.Start()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	return n
}

func TestLinkOverWebSocket(t *testing.T) {
	a, b := startNode(t, "a1", "secret"), startNode(t, "b1", "secret")
	a.SetPeers([]string{b.address})
	if got := <-a.up; got.Incarnation != "b1" || !got.Dialled {
		t.Errorf("got link %v, want one dialled to b1", got)
	}
	if got := <-b.up; got.Incarnation != "a1" || got.Dialled {
		t.Errorf("got link %v, want one accepted from a1", got)
	}
	b.outgoing <- []byte("hello")
	b.ScheduleFlush()
	if got, want := <-a.received, []byte("hello"); !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, err := a.Query(t.Context(), b.address, Drains, []byte("q")); err != nil || string(got) != "answer to q" {
		t.Errorf("got %q and error %v, want the answer", got, err)
	}
	// A message over the limit closes the link, which is then dialled again.
	a.outgoing <- bytes.Repeat([]byte{1}, maxMessageBytes+1)
	a.ScheduleFlush()
	<-a.up
	select {
	case got := <-b.received:
		t.Errorf("got %d bytes over the limit, want none", len(got))
	default:
	}
}

// A query may have no body: a node whose calls the store rejects asks others who leads
// without one. It must not be taken for the start of a link.
func TestQueryWithoutBody(t *testing.T) {
	a, b := startNode(t, "a1", "secret"), startNode(t, "b1", "secret")
	for _, query := range [][]byte{nil, {}} {
		if got, err := a.Query(t.Context(), b.address, Drains, query); err != nil || string(got) != "answer to " {
			t.Errorf("query %#v: got %q and error %v, want the answer", query, got, err)
		}
	}
}

// Guards against a message of an earlier stream that is taken for one of a later stream to the
// same node, such as a refusal of an earlier request.
func TestStreamsGetTheirOwnMessages(t *testing.T) {
	a, b := startNode(t, "a1", "secret"), startNode(t, "b1", "secret")
	b.HandleStream(Detours, func(ctx context.Context, query []byte, send func([]byte) error) {
		for send(query) == nil && ctx.Err() == nil {
			time.Sleep(time.Millisecond) // goes on after the peer has closed the stream
		}
	})
	for _, query := range []string{"one", "two", "three", "four"} {
		conn, sent, err := a.OpenStream(t.Context(), b.address, Detours, []byte(query))
		if err != nil || !sent {
			t.Fatalf("got sent %v, error %v, want a stream", sent, err)
		}
		for range 3 {
			if got, err := conn.Receive(); err != nil || string(got) != query {
				t.Errorf("got %q, %v, want %q", got, err, query)
			}
		}
		conn.Close()
	}
}

// Guards against a call that a node has made and that counts as not made: only a node without a
// handler for the subject says that it did nothing.
func TestUnhandled(t *testing.T) {
	a, b := startNode(t, "a1", "secret"), startNode(t, "b1", "secret")
	conn, _, err := a.OpenStream(t.Context(), b.address, Detours, []byte("query"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got, err := conn.Receive(); err != nil || !Unhandled(got) {
		t.Errorf("a subject without a handler: got %q, %v, want a message that says so", got, err)
	}
	for _, other := range []answer{{}, {Body: []byte("answer")}, {Error: "unexpected error"}} {
		data, err := encoder.CBOR(other)
		if err != nil {
			t.Fatal(err)
		}
		if Unhandled(data) {
			t.Errorf("%+v: counts as not handled", other)
		}
	}
}

func TestWrongSecretIsForbidden(t *testing.T) {
	a, b := startNode(t, "a1", "secret"), startNode(t, "b1", "other")
	if got, err := a.Query(t.Context(), b.address, Drains, []byte("q")); err == nil {
		t.Errorf("got answer %q with a wrong secret, want an error", got)
	}
	if got := b.cfg.Counters.Fleet.Get("links_forbidden"); got == nil || got.String() != "1" {
		t.Errorf("got %v forbidden links, want 1", got)
	}
}

func TestLiveness(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	fresh := liveness{lastReceived: start}
	tests := []struct {
		name     string
		liveness liveness
		now      time.Time
		want     bool
	}{
		{"just up", fresh.withSent(start), at(time.Second), false},
		{"nothing received", fresh, at(2 * time.Second), true},
		{"received and acknowledged", fresh.withSent(start).withReceived(at(time.Second), 1, 1), at(2 * time.Second), false},
		{"received but never acknowledged", fresh.withSent(start).withReceived(at(time.Second), 9, 0), at(2 * time.Second), true},
		{"next acknowledgement awaited from its frame's time", fresh.withSent(start).withReceived(at(time.Second), 1, 1).withSent(at(time.Second)), at(2 * time.Second), false},
	}
	for _, test := range tests {
		if got := test.liveness.unresponsive(test.now); got != test.want {
			t.Errorf("%s: got unresponsive %v, want %v", test.name, got, test.want)
		}
	}
}
