package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor"
	"banyanquay/platform/imitator"
)

// rawCall is a request on a connection of its own, which a test writes in parts.
type rawCall struct {
	t    *testing.T
	name string
	conn net.Conn
}

// rawTokens is the number of tokens that raw requests ask for: a stream of them outlasts the test.
const rawTokens = 20000

// rawRequest writes the head and the beginning of a request.
func (f *fleet) rawRequest(t *testing.T, node int, path, name, rest string) rawCall {
	t.Helper()
	conn, err := net.Dial("tcp", f.address(node, 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	c := rawCall{t: t, name: name, conn: conn}
	if err := (imitator.Caller{Key: imitator.Key}).WriteStart(conn, http.MethodPost, path, name, rawTokens); err != nil {
		t.Fatal(err)
	}
	c.write(rest)
	return c
}

func (c rawCall) write(text string) {
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Errorf("%s: %v", c.name, err)
	}
}

// answer reads the answer, and returns its status, its body, whether the node closes the
// connection, and the error with which it ends.
func (c rawCall) answer() (status int, body string, closes bool, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, "", false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close, err
}

// check checks that the answer is a refusal by a node that stops.
func (c rawCall) check(want int, ran string) {
	c.t.Helper()
	status, body, closes, err := c.answer()
	if err != nil || status != want || !closes || !strings.Contains(body, `"ran":"`+ran+`"`) || !strings.Contains(body, `"leaving"`) {
		c.t.Errorf("%s: got %d (close: %v) %q, %v, want %d leaving, ran %s", c.name, status, closes, body, err, want, ran)
	}
}

// Guards against requests that a planned stop cuts off with no answer: those whose body is sent
// late, those that outlast the stop, and those that come late.
func TestPlannedStopAnswersWhatItTook(t *testing.T) {
	const node = 2
	f := startFleet(t)
	stopNode(t, f.nodes[node])
	arrived := make(chan string, 10)
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of a connection shows only behind the body
		arrived <- r.Header.Get("X-Request-Id")
		<-r.Context().Done()
	}))
	defer slow.Close()
	defer slow.CloseClientConnections()
	app := f.startNodeWith(t, node, func(cfg *supervisor.RelayConfig) {
		cfg.Settings.Stop.AddressTTL.Duration, cfg.Settings.Stop.Deadline.Duration = 500*time.Millisecond, 3*time.Second
		send := cfg.Platform.Relay.Send
		cfg.Platform.Relay.Send = func(ctx context.Context, address string, fw driver.Forward) (driver.Reply, error) {
			if strings.HasPrefix(fw.Target, "/book/slow") {
				address = slow.Listener.Addr().String()
			}
			return send(ctx, address, fw)
		}
	})
	kept := f.visitor(node, imitator.Key)
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	kept.Frontend, kept.Client = f.address(node, 1), &http.Client{Transport: transport}
	f.waitFor(t, "the node serves", func() bool {
		code, _, err := kept.Call(t.Context(), http.MethodGet, "/look/1", "before")
		return err == nil && code == http.StatusOK
	})
	const begun = "Content-Length: 10\r\n\r\n12345"
	late, unfinished := f.rawRequest(t, node, "/book/1", "late", begun), f.rawRequest(t, node, "/book/1", "unfinished", begun)
	outlasting := f.rawRequest(t, node, "/book/slow", "outlasting", "Content-Length: 1\r\n\r\nx")
	stream := f.rawRequest(t, node, "/stream/1", "stream", "Content-Length: 0\r\n\r\n")
	select {
	case <-arrived:
	case <-time.After(waitTimeout):
		t.Fatal("the slow endpoint got no request")
	}
	stopped := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		stopNode(t, app)
		stopped <- time.Since(began)
	}()
	time.Sleep(time.Second) // the gate is closed now
	late.write("67890")
	late.check(http.StatusServiceUnavailable, "never")
	f.rawRequest(t, node, "/book/1", "new", "Content-Length: 1\r\n\r\nx").check(http.StatusServiceUnavailable, "never")
	unfinished.check(http.StatusServiceUnavailable, "never")
	outlasting.check(http.StatusBadGateway, "maybe")
	if status, body, _, err := stream.answer(); status != http.StatusOK || err == nil || !strings.Contains(body, "id: 1\n") {
		t.Errorf("stream: got %d, %v after %d bytes, want 200 that ends with an error", status, err, len(body))
	}
	if got, want := <-stopped, 3*time.Second; got > want {
		t.Errorf("the stop took %v, want at most %v", got, want)
	}
	for _, id := range []string{"late", "new", "unfinished"} {
		if got := f.site.Arrivals(id); len(got) > 0 {
			t.Errorf("%s: got %d arrivals at endpoints, want none", id, len(got))
		}
	}
}
