package forwarder

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

func TestUnreachable(t *testing.T) {
	refuse := func(context.Context) error { return syscall.ECONNREFUSED }
	accept := func(context.Context) error { return nil }
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	cases := []struct {
		name string
		all  map[string]func(context.Context) error
		// heard is the number of further engines that are known to be reachable.
		heard int
		want  []string
	}{
		{"one that refuses", map[string]func(context.Context) error{"a": accept, "b": refuse}, 0, []string{"b"}},
		{"all that refuse", map[string]func(context.Context) error{"a": refuse, "b": refuse}, 0, []string{"a", "b"}},
		{"one that times out", map[string]func(context.Context) error{"a": accept, "b": hang, "c": accept}, 0, []string{"b"}},
		{"a single one that times out", map[string]func(context.Context) error{"a": hang}, 0, []string{"a"}},
		// A slow or overloaded node gets no response in time from any engine.
		{"all time out: this node is at fault", map[string]func(context.Context) error{"a": hang, "b": hang}, 0, nil},
		// Engines that work together go silent together.
		{"fewer time out than respond", map[string]func(context.Context) error{
			"a": hang, "b": accept, "c": hang, "d": accept, "e": hang, "f": accept, "g": accept,
		}, 0, []string{"a", "c", "e"}},
		{"timeouts beside others that are known to be reachable", map[string]func(context.Context) error{"a": hang, "b": hang}, 3, []string{"a", "b"}},
		{"many time out: this node is at fault", map[string]func(context.Context) error{"a": hang, "b": hang, "c": hang, "d": accept, "e": accept}, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProber(func(ctx context.Context, address string) error { return c.all[address](ctx) }, time.Now, neverPaused)
				var addresses []string
				for address := range c.all {
					addresses = append(addresses, address)
				}
				slices.Sort(addresses)
				if got := p.unreachable(addresses, c.heard); !slices.Equal(got, c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// neverPaused stands for a process that is never paused.
func neverPaused(time.Time) bool { return false }

// This node decodes a large configuration while it probes. Its own pause must not
// count as a timeout of engines.
func TestPausedNodeIgnoresTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHarness(t, driver.Relay{Probe: func(ctx context.Context, address string) error {
			if address == "a" {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}})
		m, p := w.f.monitor, w.f.prober
		for range 5 {
			m.checkStreams(time.Now())
			time.Sleep(monitorInterval)
		}
		began := time.Now()
		if m.pausedSince(began) {
			t.Errorf("got a pause, want none")
		}
		go func() {
			time.Sleep(pauseThreshold)
			m.checkStreams(time.Now())
		}()
		if got := p.unreachable([]string{"a", "b"}, 5); len(got) > 0 {
			t.Errorf("got %v, want none: this node did not run for %v", got, pauseThreshold)
		}
		if m.recordTick(time.Now()) {
			t.Errorf("stalls are judged right after a pause")
		}
	})
}

// Many streams of a node share engines. A stream that alone is late must not probe
// engines along which the others have just had events.
func TestWithoutRecentEvents(t *testing.T) {
	w := newHarness(t, driver.Relay{Probe: acceptConnections})
	part := func(id string) pathfinder.Stage { return pathfinder.Stage{ID: id, Address: id} }
	late, fresh, old := w.f.monitor.addSession(&call{}), w.f.monitor.addSession(&call{}), w.f.monitor.addSession(&call{})
	now := time.Now()
	late.path, fresh.path, old.path = []pathfinder.Stage{part("a"), part("b"), part("c")}, []pathfinder.Stage{part("a")}, []pathfinder.Stage{part("b")}
	late.lastProgress, late.attemptEvents = now, 3
	fresh.lastProgress, fresh.attemptEvents = now, 1
	old.lastProgress, old.attemptEvents = now.Add(-recentEventAge), 1
	if got, want := w.f.monitor.withoutRecentEvents(late, late.path), []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("got %v to probe, want %v", got, want)
	}
}

// Three percent of packets are lost, also the first one of a connection.
func TestLostPacketIsNoTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tries atomic.Int32
		p := newProber(func(ctx context.Context, _ string) error {
			if tries.Add(1) > 1 {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}, time.Now, neverPaused)
		if got := p.unreachable([]string{"a"}, 0); len(got) > 0 {
			t.Errorf("got %v, want none", got)
		}
	})
}

// This process is paused, so that its probes end late.
func TestLateProbeIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		var late atomic.Int64
		p := newProber(func(ctx context.Context, _ string) error {
			<-ctx.Done()
			late.Store(int64(60 * time.Millisecond))
			return ctx.Err()
		}, func() time.Time { return now.Add(time.Duration(late.Load())) }, neverPaused)
		if got := p.unreachable([]string{"a"}, 0); len(got) > 0 {
			t.Errorf("got %v, want none", got)
		}
	})
}
