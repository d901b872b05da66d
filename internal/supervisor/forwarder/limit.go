package forwarder

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/refuser"
	"banyanquay/internal/registrar"
	"banyanquay/internal/supervisor/forwarder/pathfinder"
)

// maxLimitWait is how long a new request waits for an endpoint that takes it soon. It
// leaves most of the time in which callers want the first byte.
const maxLimitWait = 100 * time.Millisecond

// learnLimits records what an endpoint said, in its reply to a request that was sent at
// sentAt, of the requests that it takes. born tells its start.
func (f *Forwarder) learnLimits(endpoint string, born int64, reply driver.Reply, sentAt time.Time) {
	if reply.Status == http.StatusMisdirectedRequest {
		return // another endpoint answers there
	}
	f.cfg.Throttler.Learn(endpoint, reply.Limit, reply.HasLimit, sentAt)
	if reply.Leaving {
		f.cfg.MarkLeaving(endpoint, born)
	}
	if reply.Backoff > 0 {
		f.cfg.Throttler.BackOff(endpoint, reply.Backoff)
	}
}

// limitReached reports whether an endpoint takes no request of this node now.
func (f *Forwarder) limitReached(endpoint string) bool {
	_, denied := f.cfg.Throttler.Denied(endpoint)
	return denied
}

// limitExcludes reports whether a path must not use an engine since it would begin there,
// and the engine takes no request now.
func (f *Forwarder) limitExcludes(criteria pathCriteria, h holder) bool {
	return criteria.head == nil && h.entry.First == 0 && f.limitReached(h.entry.ID)
}

// limitWait returns how long it is until one of the endpoints that have reached their
// limit may take the request, and whether there is such an endpoint.
func (f *Forwarder) limitWait(c *call) (time.Duration, bool) {
	members, ok := f.members(c.service)
	if !ok {
		return 0, false
	}
	shortest, found := time.Duration(0), false
	for _, e := range members.entries {
		if c.tried[e.ID] || (members.layered() && (!e.Holds() || e.First > 0)) {
			continue
		}
		if wait, denied := f.cfg.Throttler.Denied(e.ID); denied && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// endpointLimit returns the refusal of a request that no endpoint takes for a while.
func endpointLimit(service string, wait time.Duration) refuser.Refusal {
	return refuser.New(refuser.EndpointLimit, "the endpoints of service %s have reached their limits", service).WithWait(wait + budgetRetryDelay())
}

// excluded returns the IDs of the endpoints that the request's next path must not use.
func (c *call) excluded() map[string]bool {
	if len(c.limited) == 0 {
		return c.tried
	}
	all := maps.Clone(c.tried)
	maps.Copy(all, c.limited)
	return all
}

// failed returns the IDs of the endpoints that are not tried again, as a copy. Those that refused
// the request may be, later.
func (c *call) failed() map[string]bool {
	all := maps.Clone(c.tried)
	for _, id := range c.refusedBy {
		delete(all, id)
	}
	return all
}

// permittedPath returns the path of a request's next attempt, once its first engine
// takes the request. A stream whose caller has events waits for that longer.
func (f *Forwarder) permittedPath(c *call, version string) ([]pathfinder.Stage, error) {
	var path []pathfinder.Stage
	var err error
	f.awaitPermit(c, func() (string, bool) {
		if path, err = f.path(c, version); err != nil {
			return "", false
		}
		return path[0].ID, true
	})
	if err != nil {
		if wait, limited := f.limitWait(c); limited {
			return nil, endpointLimit(c.service, wait)
		}
	}
	return path, err
}

// permittedEndpoint returns the endpoint of a plain service for a request's next attempt,
// and whether there is one that takes it.
func (f *Forwarder) permittedEndpoint(c *call) (e registrar.Entry, ok bool) {
	f.awaitPermit(c, func() (string, bool) {
		e, ok = f.chooseEndpoint(c)
		return e.ID, ok
	})
	return e, ok
}

// awaitPermit chooses endpoints until one takes the request, or there is none left and
// none will take it soon.
func (f *Forwarder) awaitPermit(c *call, choose func() (id string, ok bool)) {
	// A stream in progress that gets no permit meanwhile looks for a path again, among the
	// endpoints that there are then.
	deadline := f.cfg.Now().Add(max(maxLimitWait, min(f.patience(c), resumedTimeout)))
	c.limited = make(map[string]bool)
	for {
		id, ok := choose()
		if ok {
			if f.cfg.Throttler.Acquire(c.waitContext(), id) {
				return
			}
			c.limited[id] = true
			continue
		}
		wait, limited := f.limitWait(c)
		if !limited || f.cfg.Now().Add(wait).After(deadline) || !c.sleep(wait) {
			return
		}
		clear(c.limited)
	}
}

// paidPath returns the path of a request's next attempt, for which it takes a retry from the
// budget unless it is the first. The retry is taken last: one that is sent much later than it was
// taken counts in the wrong window. A stream whose caller has events waits for a retry, and looks
// for a path only while there is one, since that may take a permit.
func (f *Forwarder) paidPath(c *call, s *session) ([]pathfinder.Stage, error) {
	began, limit := f.cfg.Now(), f.patience(c)
	for {
		if !c.arrived || !c.begun() || s.mayRetry() {
			path, err := f.awaitPath(c, s.version)
			if err != nil || !c.arrived || s.takeRetry() {
				return path, err
			}
		}
		if !f.wait(c, began, limit) {
			f.cfg.Counters.Retries.Add("budget_spent", 1)
			return nil, refuser.New(refuser.RetryBudgetSpent, "the retry budget is spent").WithWait(budgetRetryDelay())
		}
	}
}

// refusedRetryDelay is how long a stream in progress that finds no path leaves out the
// engines that refused it.
const refusedRetryDelay = 300 * time.Millisecond

// awaitPath returns the path of a request's next attempt. A stream whose caller has events
// waits for one: engines that are being replaced, or that refused it for want of memory, are
// often back within a second.
func (f *Forwarder) awaitPath(c *call, version string) ([]pathfinder.Stage, error) {
	began, limit := f.cfg.Now(), f.patience(c)
	nextTry := began.Add(refusedRetryDelay)
	for {
		path, err := f.pacedPath(c, version)
		if err == nil || !f.wait(c, began, limit) {
			return path, err
		}
		if now := f.cfg.Now(); !now.Before(nextTry) {
			maps.DeleteFunc(c.tried, func(id string, _ bool) bool { return slices.Contains(c.refusedBy, id) })
			c.refusedBy = nil
			nextTry = now.Add(refusedRetryDelay)
		}
	}
}
