package forwarder

import (
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/supervisor/forwarder/assessor"
	"banyanquay/internal/supervisor/forwarder/pacer"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

const (
	// longBacklogWeight multiplies the cost of a prefill backlog for a long prompt, which
	// takes the path with the least. The cost of another data centre is multiplied with
	// it, so that no backlog sends a long prompt there that wouldn't send a short one.
	longBacklogWeight = prefillSpreadTokens
	// longCrossingCost is added to the cost of a crossing for a long prompt: paths never
	// mix data centres to avoid a backlog.
	longCrossingCost = 1000
)

// pacedPath returns the path of a request's next attempt. The first send of a long prompt
// waits, for a bounded time, while it would hold up short prompts on its path.
func (f *Forwarder) pacedPath(c *call, version string) ([]pathfinder.Stage, error) {
	c.behind = false
	path, err := f.permittedPath(c, version)
	if err != nil || !f.pacesCall(c) {
		return path, err
	}
	f.cfg.Counters.Prompts.Add("long", 1)
	path, err = f.hold(c, version, path)
	if c.held > 0 {
		f.cfg.Counters.Prompts.Add("held", 1)
		f.cfg.Counters.Prompts.Add("held_millis", c.held.Milliseconds())
	}
	c.behind = f.pacer.Behind(f.cfg.Now(), f.pacedEngines(c, path), c.paced())
	if err == nil && c.priority() > c.classPriority() {
		f.cfg.Counters.Prompts.Add("behind", 1)
	}
	return path, err
}

// hold waits until a long prompt may be sent, and returns the path that it then gets.
func (f *Forwarder) hold(c *call, version string, path []pathfinder.Stage) ([]pathfinder.Stage, error) {
	began := f.cfg.Now()
	for {
		wait, ok := f.pacer.Allow(f.cfg.Now(), f.pacedEngines(c, path), c.paced())
		if ok {
			return path, nil
		}
		ended := !c.sleep(wait)
		c.held = f.cfg.Now().Sub(began)
		if r, ok := f.interruption(c); ended && ok {
			return nil, r
		}
		path = f.newerPath(c, version, path)
	}
}

// newerPath returns the path that a held prompt would get now, or its previous one if
// there is none or its first engine takes no request.
func (f *Forwarder) newerPath(c *call, version string, previous []pathfinder.Stage) []pathfinder.Stage {
	path, err := f.path(c, version)
	if err != nil || (path[0].ID != previous[0].ID && !f.cfg.Throttler.Acquire(c.waitContext(), path[0].ID)) {
		return previous
	}
	return path
}

// pacesCall reports whether a call's next send is the first one of a new long prompt.
func (f *Forwarder) pacesCall(c *call) bool {
	return c.sends == 0 && !c.begun() && c.members != nil && c.members.layered() && f.pacer.Long(c.paced())
}

// paced returns what the pacer knows of a call. The target is no longer than the caller
// or the route allows the whole answer.
func (c *call) paced() pacer.Request {
	req := pacer.Request{Tokens: c.PromptTokens, Target: c.route.Target, Arrived: c.Arrived}
	if limit, limited := c.remaining(c.Arrived, c.route.Timeout); limited {
		req.Target = min(req.Target, limit)
	}
	if c.members != nil && c.members.layered() {
		req.Usual = c.members.service.Engine.Prompt
	}
	return req
}

// pacedEngines returns the engines of a path with their backlogs and their prefill of a
// call's prompt.
func (f *Forwarder) pacedEngines(c *call, path []pathfinder.Stage) []pacer.Engine {
	members, ok := f.members(c.service)
	if !ok || !members.layered() {
		return nil
	}
	now, similar := f.cfg.Now(), f.similarNodes()
	engines := make([]pacer.Engine, 0, len(path))
	for _, p := range path {
		if h, ok := members.holder(p.ID); ok {
			engines = append(engines, pacedEngine(members, h, f.assessor.Record(p.ID), pacedPrompt{
				tokens: c.PromptTokens, layers: p.Last - p.First, similar: similar, now: now,
			}))
		}
	}
	return engines
}

// pacedPrompt is a prompt that an engine would prefill.
type pacedPrompt struct {
	tokens int
	layers int
	// similar is the number of nodes that are assumed to have the load of this one.
	similar float64
	now     time.Time
}

// pacedEngine returns an engine with its backlog and its prefill of a prompt.
func pacedEngine(m *members, h holder, rec assessor.Record, p pacedPrompt) pacer.Engine {
	prefill := float64(m.service.Engine.PrefillTime(h.accelerator, p.layers, p.tokens)) * rec.CurrentPace(p.now)
	return pacer.Engine{
		ID: h.entry.ID, Prefill: time.Duration(prefill),
		Backlog: time.Duration(prefillBacklog(rec, p.now, p.similar) * float64(time.Millisecond)),
	}
}

// prefillBacklog returns the prefill backlog of an engine in milliseconds: this node's, and
// as much for each node that is assumed to have the same load. That of a slow engine
// includes them already (prefillFactor).
func prefillBacklog(rec assessor.Record, now time.Time, similar float64) float64 {
	if rec.CurrentPace(now) > slowThreshold {
		return rec.Backlog(now)
	}
	return rec.Backlog(now) * similar
}

// backlogCost returns the cost of an engine's prefill backlog for a path. For a long prompt
// it includes the time for which the prompt may be held for that engine.
func (f *Forwarder) backlogCost(criteria pathCriteria, h holder, rec assessor.Record, p pacedPrompt) float64 {
	cost := prefillBacklog(rec, p.now, p.similar) / prefillSpreadTokens
	if criteria.long == nil {
		return cost
	}
	cost *= longBacklogWeight
	p.tokens, p.layers = criteria.long.Tokens, h.entry.Last-h.entry.First
	if f.pacer.Blocks(p.now, pacedEngine(criteria.members, h, rec, p)) {
		cost += float64(pacer.HoldLimit(*criteria.long)) / float64(time.Millisecond)
	}
	return cost
}

// longPrompt returns a call's prompt if the next send is the first one of a long prompt,
// else nil.
func (f *Forwarder) longPrompt(c *call) *pacer.Request {
	if !f.pacesCall(c) {
		return nil
	}
	req := c.paced()
	return &req
}

// heldFields returns the field of a log line that says how long a prompt was held, if it
// was.
func (c *call) heldFields() []zap.Field {
	if c.held <= 0 {
		return nil
	}
	return []zap.Field{zap.Duration("held", c.held)}
}
