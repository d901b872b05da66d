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
	"banyanquay/internal/supervisor/forwarder/pather"
)

func TestGone(t *testing.T) {
	refuse := func(context.Context) error { return syscall.ECONNREFUSED }
	accept := func(context.Context) error { return nil }
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	cases := []struct {
		name string
		all  map[string]func(context.Context) error
		// heard is how many more engines others have heard of.
		heard int
		want  []string
	}{
		{"one that refuses", map[string]func(context.Context) error{"a": accept, "b": refuse}, 0, []string{"b"}},
		{"all that refuse", map[string]func(context.Context) error{"a": refuse, "b": refuse}, 0, []string{"a", "b"}},
		{"one that is silent", map[string]func(context.Context) error{"a": accept, "b": hang, "c": accept}, 0, []string{"b"}},
		{"one alone that is silent", map[string]func(context.Context) error{"a": hang}, 0, []string{"a"}},
		// The pattern: a slow or choked node hears of no engine in time.
		{"all silent: it is this node", map[string]func(context.Context) error{"a": hang, "b": hang}, 0, nil},
		// The pattern: engines that work together fall silent together.
		{"fewer silent than answer", map[string]func(context.Context) error{
			"a": hang, "b": accept, "c": hang, "d": accept, "e": hang, "f": accept, "g": accept,
		}, 0, []string{"a", "c", "e"}},
		{"silent beside others that were heard of", map[string]func(context.Context) error{"a": hang, "b": hang}, 3, []string{"a", "b"}},
		{"many silent: the same", map[string]func(context.Context) error{"a": hang, "b": hang, "c": hang, "d": accept, "e": accept}, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProber(func(ctx context.Context, address string) error { return c.all[address](ctx) }, time.Now, never)
				var addresses []string
				for address := range c.all {
					addresses = append(addresses, address)
				}
				slices.Sort(addresses)
				if got := p.gone(addresses, c.heard); !slices.Equal(got, c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
	}
}

// never is a process that always runs in time.
func never(time.Time) bool { return false }

// The pattern: this node decodes a large configuration while it tries to connect.
// Its own pause must not pass for the silence of engines.
func TestSlowNodeBelievesNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, driver.Relay{Knock: func(ctx context.Context, address string) error {
			if address == "a" {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}})
		m, p := w.f.monitor, w.f.prober
		for range 5 {
			m.look(time.Now())
			time.Sleep(monitorTick)
		}
		began := time.Now()
		if m.ranLate(began) {
			t.Errorf("got late, want in time")
		}
		go func() {
			time.Sleep(lateTick)
			m.look(time.Now())
		}()
		if got := p.gone([]string{"a", "b"}, 5); len(got) > 0 {
			t.Errorf("got %v, want none: this node did not run for %v", got, lateTick)
		}
		if m.tick(time.Now()) {
			t.Errorf("silences are judged right after a pause")
		}
	})
}

// The pattern: many streams of a node share engines. One that is late alone has no
// connections tried along engines from which the others hear.
func TestUnheard(t *testing.T) {
	w := newWorld(t, driver.Relay{Knock: alive})
	part := func(id string) pather.Part { return pather.Part{ID: id, Address: id} }
	late, fresh, old := w.f.monitor.begin(&call{}), w.f.monitor.begin(&call{}), w.f.monitor.begin(&call{})
	now := time.Now()
	late.path, fresh.path, old.path = []pather.Part{part("a"), part("b"), part("c")}, []pather.Part{part("a")}, []pather.Part{part("b")}
	late.last, late.current = now, 3
	fresh.last, fresh.current = now, 1
	old.last, old.current = now.Add(-heardFresh), 1
	if got, want := w.f.monitor.unheard(late, late.path), []string{"b", "c"}; !slices.Equal(got, want) {
		t.Errorf("got %v to try, want %v", got, want)
	}
}

// The pattern: three packets in a hundred are lost, also the first of a
// connection.
func TestLostPacketIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tries atomic.Int32
		p := newProber(func(ctx context.Context, _ string) error {
			if tries.Add(1) > 1 {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}, time.Now, never)
		if got := p.gone([]string{"a"}, 0); len(got) > 0 {
			t.Errorf("got %v, want none", got)
		}
	})
}

// The pattern: this node doesn't run for a while, so that its tries end late.
func TestLateTrySaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		var late atomic.Int64
		p := newProber(func(ctx context.Context, _ string) error {
			<-ctx.Done()
			late.Store(int64(60 * time.Millisecond))
			return ctx.Err()
		}, func() time.Time { return now.Add(time.Duration(late.Load())) }, never)
		if got := p.gone([]string{"a"}, 0); len(got) > 0 {
			t.Errorf("got %v, want none", got)
		}
	})
}
