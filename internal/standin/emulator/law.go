package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
)

// write reads the prompt and writes the events after the one given. The first comes
// with the end of the reading.
func (e *Emulator) write(ctx context.Context, g *generation, w io.Writer, prompt, answer, after int) error {
	if err := e.read(ctx, g, prompt+after*e.cfg.Stride); err != nil {
		return err
	}
	for n := after; n*e.cfg.Stride < answer; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n+1, g.id, n+1); err != nil {
			return err
		}
		e.mu.Lock()
		g.tokens = prompt + (n+1)*e.cfg.Stride
		e.mu.Unlock()
		if (n+1)*e.cfg.Stride >= answer {
			break
		}
		if err := e.pass(ctx, g, visit{steps: e.cfg.Stride}); err != nil {
			return err
		}
	}
	return nil
}

// read reads the prompt: in batches, each engine passes a chunk on while it reads the
// next one.
func (e *Emulator) read(ctx context.Context, g *generation, prompt int) error {
	if e.cfg.Chunk == 0 {
		return e.pass(ctx, g, visit{read: prompt})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := (prompt + e.cfg.Chunk - 1) / e.cfg.Chunk
	ended := make(chan error, chunks)
	for held := 0; held < prompt; held += e.cfg.Chunk {
		next := make(chan struct{})
		v := visit{read: min(e.cfg.Chunk, prompt-held), held: held, next: sync.OnceFunc(func() { close(next) })}
		go func() {
			defer v.next()
			ended <- e.pass(ctx, g, v)
		}()
		<-next
	}
	for range chunks {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

// pass takes some tokens through all engines of the path: read of the prompt, or
// written as steps. It waits for engines that don't answer until the path is
// changed or the stall is over.
func (e *Emulator) pass(ctx context.Context, g *generation, v visit) error {
	var along chan struct{}
	for at := 0; ; at++ {
		e.mu.Lock()
		if along != g.moved {
			along, at = g.moved, 0 // begins the pass anew along the new path
		}
		if at == len(g.path) {
			back := e.hop(g.path[at-1].Address, g.path[0].Address, v.steps)
			e.mu.Unlock()
			return sleep(ctx, back)
		}
		part := g.path[at]
		n, first := e.engines[part.Address], e.engines[g.path[0].Address]
		if first == nil || first.dead {
			e.mu.Unlock()
			return lost(ctx, first)
		}
		dead := n == nil || n.dead
		v.engine, v.moved, v.fell = n, along, first.changed
		e.begin(g, &v, part, at, dead)
		e.mu.Unlock()
		done, err := e.await(ctx, v)
		if err != nil {
			return err
		}
		if done && dead {
			return trace.ConnectionProblem(nil, "cut off: %s doesn't answer", part.Address)
		}
		switch {
		case !done:
			at-- // looks again which engines have ended
		case at == 0 && v.next != nil:
			v.next()
		}
	}
}

// begin sets a visit's wait and task at an engine. It needs the lock.
func (e *Emulator) begin(g *generation, v *visit, part driver.Part, at int, dead bool) {
	v.task, v.wait, v.changed = nil, 0, v.fell
	switch {
	case dead:
		v.wait = e.cfg.Stall
	case e.cfg.Chunk == 0:
		v.wait = e.work(v.engine, part, v.read+g.again(part.Address), v.steps)
	default:
		again := g.again(part.Address)
		v.task = newTask(part, v.read+again, v.steps, max(v.held, g.tokens)-again)
		v.changed = v.engine.changed
		if at > 0 {
			v.wait = e.hop(g.path[at-1].Address, part.Address, v.read+v.steps)
		}
	}
}

// visit is a part of a pass: a wait, and then a task if there is one.
type visit struct {
	// read and steps are the tokens of the pass, and held those read before. next,
	// if set, is called when the first engine is done with them.
	read   int
	steps  int
	held   int
	next   func()
	engine *engine
	task   *task
	wait   time.Duration
	// moved, fell and changed are closed when the path changes, and when its first
	// engine or this one ends or comes back.
	moved   chan struct{}
	fell    chan struct{}
	changed chan struct{}
}

// await waits for the end of a visit, and tells whether it came: not if the path or
// an engine changed.
func (e *Emulator) await(ctx context.Context, v visit) (bool, error) {
	done := make(chan struct{})
	next := func() { close(done) }
	if v.task != nil {
		done = v.task.done
		next = func() { e.enter(v.engine, v.task) }
	}
	timer := time.AfterFunc(v.wait, next)
	defer timer.Stop()
	select {
	case <-done:
		return true, nil
	case <-ctx.Done():
		e.withdraw(v)
		return false, ctx.Err()
	case <-v.moved:
	case <-v.fell:
	case <-v.changed:
	}
	e.withdraw(v)
	return false, nil
}

// lost is what a sender sees of a first engine that has ended.
func lost(ctx context.Context, first *engine) error {
	if first == nil || !first.dark {
		return trace.ConnectionProblem(nil, "the connection was reset")
	}
	<-ctx.Done()
	return ctx.Err()
}

// sleep waits, unless the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// hop is the time of a message of some tokens from one engine to another. It needs
// the lock.
func (e *Emulator) hop(from, to string, tokens int) time.Duration {
	a, b := e.engines[from], e.engines[to]
	if a == nil || b == nil || a.Centre == b.Centre {
		return e.cfg.Hop
	}
	now := time.Now()
	if e.piped.Before(now) {
		e.piped = now
	}
	if e.cfg.Pipe > 0 {
		e.piped = e.piped.Add(time.Duration(float64(tokens) / e.cfg.Pipe * float64(time.Millisecond)))
	}
	return e.piped.Sub(now) + e.cfg.Cross
}

// work returns how long an engine takes for its part if steps and reading don't delay
// each other. Prompts are read one after the other. It needs the lock.
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
