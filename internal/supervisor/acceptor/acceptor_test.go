package acceptor

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A planned stop begins while a request has been accepted and its handler has not
// begun to count it. It must be answered whole, and the next connection refused.
func TestStopAnswersAcceptedRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	accepted := make(chan struct{})
	step := Step(Config{
		Name: "test", Address: address,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(accepted)
			time.Sleep(drainTimeout / 5)
			_, _ = io.WriteString(w, "answer")
		}),
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- step.Run(ctx) }()
	answers := make(chan string, 1)
	go func() {
		for {
			resp, err := http.Get("http://" + address)
			if err != nil && ctx.Err() == nil {
				time.Sleep(time.Millisecond) // not listening yet
				continue
			}
			if err != nil {
				answers <- err.Error()
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				body = []byte(err.Error())
			}
			answers <- string(body)
			return
		}
	}()
	<-accepted
	stop()
	if got, want := <-answers, "answer"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.Close()
		t.Error("the address still accepts connections")
	}
}

// A handler that doesn't end must not delay the stop for longer than the timeout.
func TestStopEndsConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	accepted := make(chan struct{})
	step := Step(Config{Name: "test", Address: address, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(accepted)
		<-r.Context().Done()
	})})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- step.Run(ctx) }()
	go func() {
		for {
			if resp, err := http.Get("http://" + address); err == nil {
				resp.Body.Close()
				return
			} else if ctx.Err() != nil {
				return
			}
		}
	}()
	<-accepted
	stop()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("got error %v, want none", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the step did not end")
	}
}
