package emulator

import (
	"slices"
	"time"

	"banyanquay/internal/driver"
)

// task is the work of a generation at one engine: tokens to read, and then steps that
// write.
type task struct {
	part driver.PathStage
	// read and steps are what is left to do, and held is the number of tokens of the
	// request so far.
	read  int
	steps int
	held  int
	// done is closed when nothing is left to do.
	done chan struct{}
}

// newTask returns a task for a stage of a path.
func newTask(part driver.PathStage, read, steps, held int) *task {
	return &task{part: part, read: read, steps: steps, held: held, done: make(chan struct{})}
}

// enqueue queues a task at an engine, and starts passes if none runs. An engine that
// is down ignores it.
func (e *Emulator) enqueue(n *engine, t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.down {
		return
	}
	n.waiting = append(n.waiting, t)
	if !n.passRunning {
		n.passRunning = true
		go e.runPasses(n)
	}
}

// withdraw removes a visit's task, if any, from the engine's queue.
func (e *Emulator) withdraw(v visit) {
	if v.task == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	v.engine.waiting = slices.DeleteFunc(v.engine.waiting, func(t *task) bool { return t == v.task })
}

// runPasses runs passes until no tasks are left.
func (e *Emulator) runPasses(n *engine) {
	for {
		e.mu.Lock()
		if len(n.waiting) == 0 {
			n.passRunning = false
			e.mu.Unlock()
			return
		}
		took, finished := e.advance(n)
		e.mu.Unlock()
		time.Sleep(took)
		e.mu.Lock()
		for _, t := range finished {
			if at := slices.Index(n.waiting, t); at >= 0 {
				n.waiting = slices.Delete(n.waiting, at, at+1)
				close(t.done)
			}
		}
		e.mu.Unlock()
	}
}

// advance runs one pass over all tasks, and returns the time that the pass takes and
// the tasks that it finishes. The tasks with tokens left to read share the tokens
// that a pass can read, and those that have read everything write all their steps in
// the same pass. A task that finishes reading writes from the next pass on.
// The caller holds e.mu.
func (e *Emulator) advance(n *engine) (took time.Duration, finished []*task) {
	writers := 0
	for _, t := range n.waiting {
		if t.read == 0 && t.steps > 0 {
			writers++
		}
	}
	steps := 1
	if writers > 0 {
		steps = e.cfg.TokensPerEvent
	}
	left := e.cfg.PrefillChunk * steps
	writing, reading, widest := 0.0, 0.0, 0.0
	for _, t := range n.waiting {
		share := float64(t.part.Last-t.part.First) / float64(e.cfg.Layers)
		switch {
		case t.read > 0:
			tokens := min(t.read, left)
			left -= tokens
			reading += share * e.readTime(tokens, t.held)
			t.read -= tokens
			t.held += tokens
			if t.read == 0 && t.steps == 0 {
				finished = append(finished, t)
			}
		default:
			widest = max(widest, share)
			each := float64(e.cfg.Sequence) + float64(e.cfg.Context)*float64(t.held)/1000
			writing += float64(steps) * share * each
			finished = append(finished, t)
		}
	}
	writing += widest * float64(steps) * float64(e.cfg.Step)
	return time.Duration(n.slowFactor * (writing*n.Pace + reading*n.PrefillPace)), finished
}

// readTime returns the time to read some tokens of a request that holds others
// already, in nanoseconds over all layers at pace 1.
func (e *Emulator) readTime(tokens, held int) float64 {
	pairs := float64(tokens) * (float64(held) + float64(tokens)/2)
	return float64(tokens)/e.cfg.PrefillRate*float64(time.Millisecond) + pairs/1e6*float64(e.cfg.Pairs)
}
