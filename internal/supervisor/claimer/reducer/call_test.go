package reducer

import (
	"fmt"
	"reflect"
	"slices"

	"banyanquay/internal/describer"
	"banyanquay/internal/refuser"
)

// advance moves one call to its next stage.
func (w *simulation) advance() {
	open := slices.DeleteFunc(slices.Clone(w.calls), func(c *call) bool { return c.stage == ended })
	if len(open) == 0 {
		return
	}
	c := open[w.draw(len(open), "call")]
	switch c.stage {
	case sent:
		w.arrive(c)
	case planning:
		w.plan(c)
	case claiming:
		w.readVerdict(c)
	case holding:
		w.dispatch(c)
	case dispatched:
		w.finish(c)
	case refusing:
		w.respond(c)
	}
}

// arrive delivers a call to a node, which may refuse it and append a void.
func (w *simulation) arrive(c *call) {
	c.view = w.views[w.draw(3, "view")]
	c.stage = planning
	if w.draw(3, "refuse") == 0 {
		w.n++
		if w.draw(4, "settle") == 0 {
			c.Number = AllAttempts
		}
		w.append(Entry{Kind: Void, Key: c.Key, Issued: c.Issued, Nonce: fmt.Sprint("v", w.n), Number: c.Number})
		c.stage = refusing
	}
}

func (w *simulation) plan(c *call) {
	p := c.view.Plan(c.Attempt)
	if p.Move == Await && w.draw(2, "wait") == 0 {
		p = c.view.PlanAfterWait(p, c.Attempt, false)
	}
	switch p.Move {
	case Ask, TakeOver:
		w.n++
		c.nonce = fmt.Sprint("c", w.n)
		e := c.entry(Claim)
		if p.Move == TakeOver {
			e.Over = p.State.Holder.Nonce
		}
		c.stage = claiming
		w.append(e)
	case Reply:
		w.reply(c, p.State.Answer)
	case Refuse:
		c.stage = refusing
	case Await:
	}
}

// entry returns an entry of the call's claim.
func (c *call) entry(kind Kind) Entry {
	return Entry{Kind: kind, Key: c.Key, Issued: c.Issued, Nonce: c.nonce, Number: c.Number, Checks: c.Checks}
}

// readVerdict reads the verdict on the call's claim. The caller may leave at any
// time.
func (w *simulation) readVerdict(c *call) {
	verdict, _ := c.view.ClaimVerdict(c.Attempt, c.nonce)
	switch {
	case verdict == Granted && w.draw(16, "leave") > 0:
		c.stage = holding
	case verdict == Beaten:
		w.abandoned[c.nonce] = true
		c.stage = planning
	case verdict != Undecided || w.draw(8, "give up") == 0:
		w.release(c)
	}
}

func (w *simulation) release(c *call) {
	c.stage = refusing
	w.append(c.entry(Release))
}

// dispatch calls the service or releases the claim. Any time may have passed since
// the claim was granted.
func (w *simulation) dispatch(c *call) {
	if w.draw(6, "release") == 0 {
		w.release(c)
		return
	}
	c.stage = dispatched
	fence := w.reference.State(c.Key).Holder.Fence
	if w.reference.State(c.Key).Holder.Nonce != c.nonce {
		fence = 0
	}
	refused := c.Checks == describer.ChecksKey && w.runs(c.Key) > 0
	refused = refused || (c.Checks == describer.ChecksFence && fence < w.fences[c.Key])
	w.fences[c.Key] = max(fence, w.fences[c.Key])
	c.ran = !refused
	if limit := w.refusedUpTo[c.Key]; limit > 0 && c.Number <= limit {
		w.t.Fatalf("attempt %d of %s ran after attempt %d was refused with never", c.Number, c.Key.Name, w.refusedUpTo[c.Key])
	}
}

func (w *simulation) finish(c *call) {
	c.stage = ended
	if w.draw(3, "unknown") == 0 {
		w.append(c.entry(Unknown))
		return
	}
	e := c.entry(Done)
	e.Answer = &Answer{Status: 200, Body: []byte(c.nonce)}
	w.append(e)
}

// reply returns a recorded answer to the caller. All answers of a key must be the
// same.
func (w *simulation) reply(c *call, a *Answer) {
	c.stage = ended
	if first := w.replies[c.Key]; first != nil && !reflect.DeepEqual(first, a) {
		w.t.Fatalf("got answer %s of %s, want %s as returned before", a.Body, c.Key.Name, first.Body)
	}
	w.replies[c.Key] = a
}

// respond answers a refused call with whether the key's attempts ran, according to
// its node.
func (w *simulation) respond(c *call) {
	ran := c.view.RanUpTo(c.Attempt)
	if ran == refuser.Maybe && w.draw(2, "wait on") == 0 {
		return
	}
	c.stage = ended
	if ran == refuser.Done && w.runs(c.Key) == 0 {
		w.t.Fatalf("%s was refused with done and never ran", c.Key.Name)
	}
	if ran != refuser.Never {
		return
	}
	upTo := c.Number
	if upTo == 0 {
		upTo = AllAttempts
	}
	w.refusedUpTo[c.Key] = max(w.refusedUpTo[c.Key], upTo)
	for _, other := range w.calls {
		if other.Key == c.Key && other.ran && other.Number <= upTo {
			w.t.Fatalf("attempt %d of %s was refused with never; attempt %d ran", c.Number, c.Key.Name, other.Number)
		}
	}
}

// runs returns the number of executions of a key.
func (w *simulation) runs(key Key) int {
	n := 0
	for _, c := range w.calls {
		if c.Key == key && c.ran {
			n++
		}
	}
	return n
}

// check verifies the invariants after every step.
func (w *simulation) check() {
	for _, k := range w.firstAttempts {
		if got := w.runs(k.Key); got > 1 {
			w.t.Fatalf("got %d executions of %s, want at most 1", got, k.Key.Name)
		}
		want := w.reference.State(k.Key)
		if want.Phase == Held && w.abandoned[want.Holder.Nonce] {
			w.t.Fatalf("%s is held by %s, which was abandoned", k.Key.Name, want.Holder.Nonce)
		}
		for _, v := range w.views {
			got := v.State(k.Key)
			if w.compareStates && k.Issued > 0 && v.Next() == w.reference.Next() && v.Covers(k.Issued, w.now) && !reflect.DeepEqual(got, want) {
				w.t.Fatalf("got state %+v of %s at a node, want %+v as without retention", got, k.Key.Name, want)
			}
		}
	}
}
