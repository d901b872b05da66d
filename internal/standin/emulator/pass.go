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

// write reads the prompt and writes the events after the given one. The first event
// follows the reading at once.
func (e *Emulator) write(ctx context.Context, g *generation, w io.Writer, prompt, answer, after int) error {
	if err := e.read(ctx, g, prompt+after*e.cfg.TokensPerEvent); err != nil {
		return err
	}
	for n := after; n*e.cfg.TokensPerEvent < answer; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n+1, g.id, n+1); err != nil {
			return err
		}
		e.mu.Lock()
		g.tokens = prompt + (n+1)*e.cfg.TokensPerEvent
		e.mu.Unlock()
		if (n+1)*e.cfg.TokensPerEvent >= answer {
			break
		}
		if err := e.pass(ctx, g, visit{steps: e.cfg.TokensPerEvent}); err != nil {
			return err
		}
	}
	return nil
}

// read reads the prompt. With batching, each engine passes a chunk on and reads the
// next chunk at the same time as the engines behind it read this one.
func (e *Emulator) read(ctx context.Context, g *generation, prompt int) error {
	if e.cfg.PrefillChunk == 0 {
		return e.pass(ctx, g, visit{read: prompt})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := (prompt + e.cfg.PrefillChunk - 1) / e.cfg.PrefillChunk
	ended := make(chan error, chunks)
	for held := 0; held < prompt; held += e.cfg.PrefillChunk {
		next := make(chan struct{})
		v := visit{read: min(e.cfg.PrefillChunk, prompt-held), held: held, next: sync.OnceFunc(func() { close(next) })}
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

// pass takes some tokens through all engines of the path: prompt tokens to read, or
// steps that write. It restarts when the path changes. At an engine that is down it
// waits for a change of the path, and fails when the stall timeout expires, even if
// the engine has restarted meanwhile.
func (e *Emulator) pass(ctx context.Context, g *generation, v visit) error {
	var along chan struct{}
	for at := 0; ; at++ {
		e.mu.Lock()
		if along != g.pathChanged {
			along, at = g.pathChanged, 0 // restarts the pass on the new path
		}
		if at == len(g.path) {
			back := e.transferTime(g.path[at-1].Address, g.path[0].Address, v.steps)
			e.mu.Unlock()
			return sleep(ctx, back)
		}
		part := g.path[at]
		n, first := e.engines[part.Address], e.engines[g.path[0].Address]
		if first == nil || first.down {
			e.mu.Unlock()
			return connectionLost(ctx, first)
		}
		down := n == nil || n.down
		v.engine, v.pathChanged, v.headChanged = n, along, first.changed
		e.startVisit(g, &v, part, at, down)
		e.mu.Unlock()
		done, err := e.await(ctx, v)
		if err != nil {
			return err
		}
		if done && down {
			return trace.ConnectionProblem(nil, "generation cut off: engine %s does not answer", part.Address)
		}
		switch {
		case !done:
			at-- // retries this engine, as the path or an engine changed
		case at == 0 && v.next != nil:
			v.next()
		}
	}
}

// silenceTimeout is above any silence of an engine, which ends with a change of its state.
const silenceTimeout = time.Hour

// startVisit sets the delay and the task of a visit to an engine. The caller holds
// e.mu.
func (e *Emulator) startVisit(g *generation, v *visit, part driver.PathStage, at int, down bool) {
	v.task, v.wait, v.engineChanged = nil, 0, v.headChanged
	switch {
	case down:
		v.wait = e.cfg.StallTimeout
	case v.engine.silent:
		v.wait, v.engineChanged = silenceTimeout, v.engine.changed
	case e.cfg.PrefillChunk == 0:
		v.wait = e.unbatchedTime(v.engine, part, v.read+g.takeUnread(part.Address), v.steps)
	default:
		unread := g.takeUnread(part.Address)
		v.task = newTask(part, v.read+unread, v.steps, max(v.held, g.tokens)-unread)
		v.engineChanged = v.engine.changed
		if at > 0 {
			v.wait = e.transferTime(g.path[at-1].Address, part.Address, v.read+v.steps)
		}
	}
}

// visit is a pass's stop at one engine: a delay, followed by a task if there is one.
type visit struct {
	// read and steps are the tokens of the pass, and held is the number of tokens
	// that were read before. next, if set, is called when the first engine has
	// finished its task.
	read   int
	steps  int
	held   int
	next   func()
	engine *engine
	task   *task
	wait   time.Duration
	// pathChanged is closed when the path changes, and headChanged when its first
	// engine stops or restarts. engineChanged is closed when the visited engine does;
	// without a task it is the same as headChanged.
	pathChanged   chan struct{}
	headChanged   chan struct{}
	engineChanged chan struct{}
}

// await waits for the end of a visit. It returns false if the path or an engine
// changed before.
func (e *Emulator) await(ctx context.Context, v visit) (bool, error) {
	done := make(chan struct{})
	next := func() { close(done) }
	if v.task != nil {
		done = v.task.done
		next = func() { e.enqueue(v.engine, v.task) }
	}
	timer := time.AfterFunc(v.wait, next)
	defer timer.Stop()
	select {
	case <-done:
		return true, nil
	case <-ctx.Done():
		e.withdraw(v)
		return false, ctx.Err()
	case <-v.pathChanged:
	case <-v.headChanged:
	case <-v.engineChanged:
	}
	e.withdraw(v)
	return false, nil
}

// connectionLost returns the error that the sender gets when the first engine has
// stopped. If that engine is unresponsive, it blocks until the context ends.
func connectionLost(ctx context.Context, first *engine) error {
	if first == nil || !first.dark {
		return trace.ConnectionProblem(nil, "connection reset by the first engine of the path")
	}
	<-ctx.Done()
	return ctx.Err()
}

// sleep waits for a duration, or returns an error if the context ends first.
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

// transferTime returns the time of a message with some tokens between two engines.
// Messages between data centres share one link and queue for it. The caller holds
// e.mu.
func (e *Emulator) transferTime(from, to string, tokens int) time.Duration {
	a, b := e.engines[from], e.engines[to]
	if a == nil || b == nil || a.Centre == b.Centre {
		return e.cfg.Hop
	}
	now := time.Now()
	if e.linkBusyUntil.Before(now) {
		e.linkBusyUntil = now
	}
	if e.cfg.Bandwidth > 0 {
		e.linkBusyUntil = e.linkBusyUntil.Add(time.Duration(float64(tokens) / e.cfg.Bandwidth * float64(time.Millisecond)))
	}
	return e.linkBusyUntil.Sub(now) + e.cfg.CrossHop
}

// unbatchedTime returns the time that an engine takes for its stage without batching:
// steps and reading don't delay each other, and prompts are read one after the other.
// The caller holds e.mu.
func (e *Emulator) unbatchedTime(n *engine, part driver.PathStage, read, steps int) time.Duration {
	share := float64(part.Last-part.First) / float64(e.cfg.Layers)
	step := time.Duration(float64(steps)*float64(e.cfg.Step)*n.Pace*n.slowFactor*share) + e.cfg.Hop
	if read == 0 {
		return step
	}
	now := time.Now()
	if n.readingUntil.Before(now) {
		n.readingUntil = now
	}
	millis := float64(read) / e.cfg.PrefillRate * n.PrefillPace * n.slowFactor * share
	n.readingUntil = n.readingUntil.Add(time.Duration(millis * float64(time.Millisecond)))
	return n.readingUntil.Sub(now) + step
}
