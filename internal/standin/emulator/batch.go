package emulator

import (
	"slices"
	"time"

	"banyanquay/internal/driver"
)

// task is what a generation waits for at one engine: some tokens read, then some
// written.
type task struct {
	part driver.Part
	// read and steps are what is left, and held the tokens of the request so far.
	read  int
	steps int
	held  int
	// done is closed when nothing is left.
	done chan struct{}
}

// newTask returns a task of a part of a path.
func newTask(part driver.Part, read, steps, held int) *task {
	return &task{part: part, read: read, steps: steps, held: held, done: make(chan struct{})}
}

// enter gives an engine a task. Engines work in passes; one without a pass begins
// one.
func (e *Emulator) enter(n *engine, t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.dead {
		return
	}
	n.waiting = append(n.waiting, t)
	if !n.passing {
		n.passing = true
		go e.run(n)
	}
}

// withdraw takes the task of a visit back, if it has one.
func (e *Emulator) withdraw(v visit) {
	if v.task == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	v.engine.waiting = slices.DeleteFunc(v.engine.waiting, func(t *task) bool { return t == v.task })
}

// run makes passes until no task is left.
func (e *Emulator) run(n *engine) {
	for {
		e.mu.Lock()
		if len(n.waiting) == 0 {
			n.passing = false
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

// advance takes all tasks through one pass: it returns the time that the pass takes
// and the tasks that it ends. Those that have read all write in the same pass on. It
// needs the lock.
func (e *Emulator) advance(n *engine) (took time.Duration, finished []*task) {
	writers := 0
	for _, t := range n.waiting {
		if t.read == 0 && t.steps > 0 {
			writers++
		}
	}
	steps := 1
	if writers > 0 {
		steps = e.cfg.Stride
	}
	left := e.cfg.Chunk * steps
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
	return time.Duration(n.slow * (writing*n.Pace + reading*n.ReadPace)), finished
}

// readTime is the time of reading some tokens of a request that holds others already,
// in nanoseconds over all layers at pace 1.
func (e *Emulator) readTime(tokens, held int) float64 {
	pairs := float64(tokens) * (float64(held) + float64(tokens)/2)
	return float64(tokens)/e.cfg.Read*float64(time.Millisecond) + pairs/1e6*float64(e.cfg.Pairs)
}
