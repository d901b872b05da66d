package admitter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/dispatcher/limiter"
	"banyanquay/internal/supervisor/dispatcher/planner"
)

// study is a discrete-event simulation in fake time: it runs admission, planning
// and limits over a queueing model of endpoints.
type study struct {
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	seq     int
	engines map[string]*engine
	// reported is the state of the endpoints that the nodes see. It lags behind the
	// actual state by up to two sample intervals.
	reported, sampled []driver.Endpoint
	nodes             []*studyNode
	offered, good     [organisations]float64
	refused, late     int
	// smallRequests and smallRefused count requests, and refused requests, of
	// organisations whose demand is below their share.
	smallRequests, smallRefused int
	prefills, hits              int
}

const (
	organisations  = 10
	studyLayers    = 32
	warmUp         = 4 * time.Second
	studyEnd       = 12 * time.Second
	requestTimeout = 4 * time.Second
	meanTokens     = 60
	prefillSteps   = 6
	cachedSteps    = 1
	cacheSize      = 16
	sampleEvery    = 500 * time.Millisecond
)

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return cmp.Or(h[a].at.Compare(h[b].at), h[a].seq-h[b].seq) < 0
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// after schedules a function.
func (s *study) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, run})
}

// engine runs as much work at once as it has slots and queues the rest.
type engine struct {
	driver.Endpoint
	busy    int
	waiting []func()
	cache   []uint64
}

// execute runs work of some layers and steps, and then calls done.
func (s *study) execute(e *engine, layers int, steps float64, done func()) {
	run := func() {
		e.busy++
		s.after(time.Duration(float64(layers)*steps*e.Status.StepMillis*1e6), func() {
			e.busy--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			done()
		})
	}
	if e.busy < e.Status.Slots {
		run()
		return
	}
	e.waiting = append(e.waiting, run)
}

// prefill returns the number of steps that a prompt takes, and caches its prefix.
func (s *study) prefill(e *engine, prefix uint64) float64 {
	at := slices.Index(e.cache, prefix)
	s.prefills++
	if at >= 0 {
		s.hits++
		e.cache = append(slices.Delete(e.cache, at, at+1), prefix)
		return cachedSteps
	}
	e.cache = append(e.cache, prefix)
	e.cache = e.cache[max(len(e.cache)-cacheSize, 0):]
	return prefillSteps
}

// studyNode holds the components of a node that make decisions.
type studyNode struct {
	centre  int
	queue   *queue
	planner *planner.Planner
	limiter *limiter.Limiter
}

// rtt returns the link time. The links to and from the third data centre are
// slow.
func rtt(node *studyNode, e *engine) time.Duration {
	switch there := fmt.Sprint(node.centre); {
	case there == e.Centre:
		return 300 * time.Microsecond
	case there == "2" || e.Centre == "2":
		return 30 * time.Millisecond
	default:
		return time.Millisecond
	}
}

// arrive offers a request to a node.
func (s *study) arrive(n *studyNode, org int) {
	req := Request{
		Organisation: fmt.Sprint(org), Weight: 1.0 / organisations,
		Tokens: meanTokens/2 + s.rng.IntN(meanTokens), Deadline: s.now.Add(requestTimeout),
	}
	if s.now.Sub(epoch) > warmUp {
		s.offered[org] += float64(req.Tokens)
	}
	if org > 0 {
		s.smallRequests++
	}
	it, err := n.queue.offer(s.now, req)
	if err != nil {
		s.refuse(org)
		return
	}
	s.after(n.queue.waitDeadline(it).Sub(s.now), func() {
		if n.queue.remove(it) {
			s.late++
			s.refuse(org)
		}
	})
	s.startGranted(n)
}

// refuse counts a refusal.
func (s *study) refuse(org int) {
	s.refused++
	if org > 0 {
		s.smallRefused++
	}
}

// startGranted plans and starts every request that the node may start.
func (s *study) startGranted(n *studyNode) {
	for it := n.queue.next(s.now); it != nil; it = n.queue.next(s.now) {
		var org int
		_, _ = fmt.Sscan(it.Organisation, &org)
		prefix := uint64(1 + org*1000 + min(s.rng.IntN(8), s.rng.IntN(8)))
		req := planner.Request{Model: "m", Version: "v", Prefix: prefix, Centre: fmt.Sprint(n.centre)}
		req.Tokens = it.Tokens
		if it.borrowed {
			req.TimeLeft = it.Deadline.Sub(s.now)
		}
		plan, err := n.planner.Choose(req, s.reported, n.limiter.Load)
		if err != nil {
			s.refuse(org)
			n.queue.finish(s.now, it, 0)
			continue
		}
		s.step(n, it, plan, org, prefix, 0, 0)
	}
}

// step runs a stage of a token, and then the next one.
func (s *study) step(n *studyNode, it *item, plan planner.Plan, org int, prefix uint64, token, stage int) {
	if stage == len(plan) {
		token, stage = token+1, 0
	}
	if token == it.Tokens || s.now.After(it.Deadline) {
		n.queue.finish(s.now, it, token)
		if s.now.Sub(epoch) > warmUp && !s.now.After(it.Deadline) {
			s.good[org] += float64(it.Tokens)
		}
		s.startGranted(n)
		return
	}
	at := plan[stage]
	e := s.engines[at.Address]
	steps, link, started := 1.0, rtt(n, e), s.now
	if token == 0 {
		steps = s.prefill(e, prefix)
	}
	counted := n.limiter.Begin(at.Address)
	s.after(link/2, func() {
		s.execute(e, at.Last-at.First, steps, func() {
			s.after(link/2, func() {
				took := s.now.Sub(started)
				if counted {
					n.limiter.End(at.Address, took, nil)
				}
				compute := time.Duration(float64(at.Last-at.First) * steps * e.Status.StepMillis * 1e6)
				n.limiter.Observe(at.Address, took-compute)
				s.step(n, it, plan, org, prefix, token, stage+1)
			})
		})
	})
}
