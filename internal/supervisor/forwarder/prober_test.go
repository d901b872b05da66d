package forwarder

import (
	"context"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
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
		want []string
	}{
		{"one that refuses", map[string]func(context.Context) error{"a": accept, "b": refuse}, []string{"b"}},
		{"all that refuse", map[string]func(context.Context) error{"a": refuse, "b": refuse}, []string{"a", "b"}},
		{"one that is silent", map[string]func(context.Context) error{"a": accept, "b": hang, "c": accept}, []string{"b"}},
		{"one alone that is silent", map[string]func(context.Context) error{"a": hang}, []string{"a"}},
		// The pattern: a slow or choked node hears of no engine in time.
		{"all silent: it is this node", map[string]func(context.Context) error{"a": hang, "b": hang}, nil},
		// The pattern: engines that work together fall silent together.
		{"fewer silent than answer", map[string]func(context.Context) error{
			"a": hang, "b": accept, "c": hang, "d": accept, "e": hang, "f": accept, "g": accept,
		}, []string{"a", "c", "e"}},
		{"many silent: the same", map[string]func(context.Context) error{"a": hang, "b": hang, "c": hang, "d": accept, "e": accept}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newProber(func(ctx context.Context, address string) error { return c.all[address](ctx) }, time.Now)
				var addresses []string
				for address := range c.all {
					addresses = append(addresses, address)
				}
				slices.Sort(addresses)
				if got := p.gone(addresses); !slices.Equal(got, c.want) {
					t.Errorf("got %v, want %v", got, c.want)
				}
			})
		})
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
		}, time.Now)
		if got := p.gone([]string{"a"}); len(got) > 0 {
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
		}, func() time.Time { return now.Add(time.Duration(late.Load())) })
		if got := p.gone([]string{"a"}); len(got) > 0 {
			t.Errorf("got %v, want none", got)
		}
	})
}
