package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"banyanquay/platform/imitator"
)

const (
	// stableWindow is the time after which nodes that were not disturbed must follow
	// the rules of the platform.
	stableWindow = 3 * time.Second
	// maxFatalCrashes is how many engines may crash under one part of a prompt before
	// requests with it have to stop, and maxFatalSends how many of these may still reach
	// engines later than stableWindow after that.
	maxFatalCrashes = 5
	maxFatalSends   = 3
)

// crashTraffic sends requests with a part that crashes engines and, beside them, sound
// ones that share their other part.
type crashTraffic struct {
	f    *fleet
	done chan struct{}
	wg   sync.WaitGroup
	// sent and begun count the sound requests since the last reset, and those that
	// were answered.
	sent  atomic.Int64
	begun atomic.Int64
}

// start sends requests until done is closed: a fatal one each 150 ms, a sound one each
// 100 ms, at the nodes in turn.
func (c *crashTraffic) start(t *testing.T) {
	send := func(interval time.Duration, name string, parts []string, record func(code int)) {
		c.wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.done:
					return
				case <-time.After(interval):
				}
				c.wg.Go(func() {
					caller := c.f.visitor(n%3, imitator.Key)
					caller.Parts = parts
					code, _, _ := caller.Call(t.Context(), http.MethodPost, "/stream/1", fmt.Sprint(name, n))
					record(code)
				})
			}
		})
	}
	send(150*time.Millisecond, "fatal", []string{"shared", "fatal"}, func(int) {})
	send(100*time.Millisecond, "sound", []string{"shared"}, func(code int) {
		c.sent.Add(1)
		if code == http.StatusOK {
			c.begun.Add(1)
		}
	})
}

// Guards against requests with one part in their prompts that crash engine after engine:
// nothing connected the crashes under different requests, at different nodes, or before
// and after a restart of all nodes.
func TestPartThatCrashesEngines(t *testing.T) {
	f := startFleet(t)
	f.site.CrashOn("fatal")
	traffic := &crashTraffic{f: f, done: make(chan struct{})}
	traffic.start(t)
	time.Sleep(6 * time.Second)
	var wg sync.WaitGroup
	for _, app := range f.nodes {
		wg.Go(func() { stopNode(t, app) })
	}
	wg.Wait()
	for n := range 3 {
		f.nodes[n] = f.startNode(t, n)
	}
	time.Sleep(stableWindow)
	traffic.sent.Store(0)
	traffic.begun.Store(0)
	time.Sleep(stableWindow)
	close(traffic.done)
	traffic.wg.Wait()
	crashes, arrivals := f.site.Crashes()
	if len(crashes) == 0 {
		t.Fatal("no engine crashed: the test shows nothing")
	}
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= maxFatalCrashes && at.After(crashes[maxFatalCrashes-1].Add(stableWindow)) {
			late++
		}
	}
	if late > maxFatalSends {
		t.Errorf("requests that reached engines %v after the crash of %d: got %d, want at most %d; %d crashed in all",
			stableWindow, maxFatalCrashes, late, maxFatalSends, len(crashes))
	}
	if sent, begun := traffic.sent.Load(), traffic.begun.Load(); begun*2 < sent {
		t.Errorf("sound requests that share the other part: %d of %d were answered, want at least half", begun, sent)
	}
}
