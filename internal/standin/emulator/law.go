package emulator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// write reads the prompt and writes the events after the one given.
func (e *Emulator) write(ctx context.Context, g *generation, w io.Writer, prompt, answer, after int) error {
	if err := e.pass(ctx, g, prompt+after*e.cfg.Stride, 0); err != nil {
		return err
	}
	for n := after; n*e.cfg.Stride < answer; n++ {
		e.mu.Lock()
		g.tokens = prompt + n*e.cfg.Stride
		e.mu.Unlock()
		if err := e.pass(ctx, g, 0, e.cfg.Stride); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n+1, g.id, n+1); err != nil {
			return err
		}
	}
	return nil
}

// pass takes some tokens through all engines of the path: read of the prompt, or
// written as steps. It waits for engines that don't answer until the path is
// changed or the stall is over.
func (e *Emulator) pass(ctx context.Context, g *generation, read, steps int) error {
	for at := 0; ; at++ {
		e.mu.Lock()
		if at >= len(g.path) {
			e.mu.Unlock()
			return nil
		}
		part, moved := g.path[at], g.moved
		n := e.engines[part.Address]
		dead := n == nil || n.dead
		wait := time.Duration(0)
		if !dead {
			wait = e.work(n, part, read+g.again(part.Address), steps)
		}
		first := e.engines[g.path[0].Address]
		gone := first == nil || first.dead
		var fell chan struct{}
		if first != nil {
			fell = first.changed
		}
		e.mu.Unlock()
		if gone {
			if !first.dark {
				return trace.ConnectionProblem(nil, "the connection was reset")
			}
			<-ctx.Done()
			return ctx.Err()
		}
		if dead {
			wait = e.cfg.Stall
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-fell:
			timer.Stop()
			at-- // looks again whether the first engine has ended
		case <-moved:
			timer.Stop()
			at = -1 // begins the pass anew along the new path
		case <-timer.C:
			if dead {
				return trace.ConnectionProblem(nil, "cut off: %s doesn't answer", part.Address)
			}
		}
	}
}

// work returns how long an engine takes for its part. Prompts are read one after
// the other, beside the steps. It needs the lock.
func (e *Emulator) work(n *engine, part driver.Part, read, steps int) time.Duration {
	share := float64(part.Last-part.First) / float64(e.cfg.Layers)
	step := time.Duration(float64(steps)*float64(e.cfg.Step)*n.Pace*n.slow*share) + e.cfg.Hop
	if read == 0 {
		return step
	}
	now := time.Now()
	if n.busy.Before(now) {
		n.busy = now
	}
	millis := float64(read) / e.cfg.Read * n.ReadPace * n.slow * share
	n.busy = n.busy.Add(time.Duration(millis * float64(time.Millisecond)))
	return n.busy.Sub(now) + step
}
