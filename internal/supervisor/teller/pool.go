package teller

import (
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/forwarder/budgeter"
)

// In a fleet whose nodes don't hear of each other, each tells its loads to the node
// that reads the store for its data centre, which answers with the sum over all of
// that data centre.

// pooledFresh is how old a report, or a sum, may be: two questions of a node to its
// reader, and one that is late.
const pooledFresh = 1800 * time.Millisecond

// report is what a node tells its reader, and the sum that it gets back.
type report struct {
	_     struct{} `cbor:",toarray"`
	Loads []Load
	Spent []Spent
	// Nodes is over how many nodes a sum is.
	Nodes uint16
}

// reported is a report and when it came.
type reported struct {
	report
	at time.Time
}

// sums are the loads and what was sent, of several nodes. It is an immutable value
// once made.
type sums struct {
	loads map[uint32]int
	spent map[uint32]budgeter.Spent
	nodes int
	at    time.Time
}

// newSums returns empty sums as of a moment.
func newSums(now time.Time) *sums {
	return &sums{loads: make(map[uint32]int), spent: make(map[uint32]budgeter.Spent), at: now}
}

// add adds a report, or takes it away if times is -1.
func (s *sums) add(r report, times int) {
	for _, l := range r.Loads {
		s.loads[l.ID] = max(s.loads[l.ID]+times*int(l.Units), 0)
	}
	for _, p := range r.Spent {
		was := s.spent[p.ID]
		s.spent[p.ID] = budgeter.Spent{
			Requests: max(was.Requests+times*int(p.Requests), 0), Repeats: max(was.Repeats+times*int(p.Repeats), 0),
		}
	}
}

// report returns the sums as they are told.
func (s *sums) report() report {
	r := report{Nodes: uint16(s.nodes)}
	for id, units := range s.loads {
		if units > 0 && len(r.Loads) < mostLoads {
			r.Loads = append(r.Loads, Load{ID: id, Units: uint16(min(units, 1<<16-1))})
		}
	}
	for id, p := range s.spent {
		r.Spent = append(r.Spent, Spent{ID: id, Requests: uint32(p.Requests), Repeats: uint32(p.Repeats)})
	}
	return r
}

// Report returns what this node tells its reader; nil in a fleet of few nodes.
func (t *Teller) Report() []byte {
	if t.cfg.Few() {
		return nil
	}
	own := report{Loads: t.loads(), Spent: t.spent(), Nodes: 1}
	t.mu.Lock()
	t.own = own
	t.mu.Unlock()
	body, err := encoder.CBOR(own)
	if err != nil {
		return nil // numbers always encode
	}
	return body
}

// Reported takes in another node's report and returns the sum over all nodes that
// have reported of late, this one included.
func (t *Teller) Reported(from string, body []byte) []byte {
	r, err := encoder.FromCBOR[report](body)
	if err != nil {
		return nil // a node of another build; its work counts as unknown
	}
	own := report{Loads: t.loads(), Spent: t.spent()}
	now := t.cfg.Now()
	t.mu.Lock()
	t.reports[from] = reported{report: r, at: now}
	sum := t.summed(now)
	t.mu.Unlock()
	sum.add(own, 1)
	sum.nodes++
	answer, err := encoder.CBOR(sum.report())
	if err != nil {
		return nil // numbers always encode
	}
	return answer
}

// summed sums the reports of late and forgets the others. It needs the lock.
func (t *Teller) summed(now time.Time) *sums {
	sum := newSums(now)
	for from, r := range t.reports {
		if now.Sub(r.at) > pooledFresh {
			delete(t.reports, from)
			continue
		}
		sum.add(r.report, 1)
		sum.nodes++
	}
	return sum
}

// Pooled takes in the sum that this node's reader answered.
func (t *Teller) Pooled(body []byte) {
	r, err := encoder.FromCBOR[report](body)
	if err != nil {
		return // a node of another build; the others' work counts as unknown
	}
	sum := newSums(t.cfg.Now())
	sum.add(r, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	sum.add(t.own, -1)
	sum.nodes = max(int(r.Nodes)-1, 0)
	t.pool = sum
}

// ReportedTokens returns this node's tokens at an endpoint as last reported; 0 in a
// fleet of few nodes. The sum that came back is as old.
func (t *Teller) ReportedTokens(id string) int {
	if t.cfg.Few() {
		return 0
	}
	key := short(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.own.Loads {
		if l.ID == key {
			return int(l.Units) * unit
		}
	}
	return 0
}

// pooled returns what is known of the other nodes of the data centre: from the
// reader, or from their own reports.
func (t *Teller) pooled() *sums {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pool != nil && now.Sub(t.pool.at) <= pooledFresh {
		return t.pool
	}
	return t.summed(now)
}
