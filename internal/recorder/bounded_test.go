package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// sink is a writer that blocks until unblock is closed.
type sink struct {
	mu      sync.Mutex
	data    bytes.Buffer
	unblock chan struct{}
}

func (s *sink) Write(line []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(line)
}

func TestBoundedNeverBlocks(t *testing.T) {
	s := &sink{unblock: make(chan struct{})}
	log, stop, err := Bounded(s, "info", 1_000_000)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			New(log).Info(RequestEnded, zap.String("request", "r"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks on a reader that doesn't read")
	}
	close(s.unblock)
	stop()
	if got := strings.Count(s.data.String(), "\n"); got < maxQueuedLines || got > 2*maxQueuedLines {
		t.Errorf("got %d lines, want about the %d that fit into the queue", got, maxQueuedLines)
	}
}

func TestBoundedVolume(t *testing.T) {
	s := &sink{unblock: make(chan struct{})}
	close(s.unblock)
	log, stop, err := Bounded(s, "info", 10)
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		New(log).Info(RequestEnded)
	}
	stop()
	if got, want := strings.Count(s.data.String(), "\n"), 10*burstSeconds+5; got > want {
		t.Errorf("got %d lines at once, want at most %d", got, want)
	}
}

func TestBoundedRefusesUnknownLevels(t *testing.T) {
	if _, _, err := Bounded(&sink{}, "loud", 10); err == nil {
		t.Errorf("level loud is accepted")
	}
}
