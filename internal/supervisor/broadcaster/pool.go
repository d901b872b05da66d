package broadcaster

import (
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/supervisor/forwarder/budgeter"
)

// In a fleet too large for each node to be linked to most others, each node reports
// its loads to the node that reads the store for its data centre, which answers with
// the sum over all nodes of that data centre.

// maxReportAge is the age above which a report or an aggregate no longer counts. It
// allows for two queries of a node to its reader, and for a third that is late.
const maxReportAge = 1800 * time.Millisecond

// report is what a node sends to its reader, and the aggregate that it gets back.
type report struct {
	_     struct{} `cbor:",toarray"`
	Loads []Load
	Spent []Spent
	// Nodes is the number of nodes in an aggregate.
	Nodes uint16
}

// receivedReport is a report and when it was received.
type receivedReport struct {
	report
	at time.Time
}

// aggregate sums the loads and the requests sent of several nodes. It is an
// immutable value once made.
type aggregate struct {
	loads map[uint32]int
	spent map[uint32]budgeter.Usage
	nodes int
	at    time.Time
}

// newAggregate returns an empty aggregate as of now.
func newAggregate(now time.Time) *aggregate {
	return &aggregate{loads: make(map[uint32]int), spent: make(map[uint32]budgeter.Usage), at: now}
}

// add adds a report, or subtracts it if sign is -1.
func (a *aggregate) add(r report, sign int) {
	for _, l := range r.Loads {
		a.loads[l.ID] = max(a.loads[l.ID]+sign*int(l.Units), 0)
	}
	for _, p := range r.Spent {
		old := a.spent[p.ID]
		a.spent[p.ID] = budgeter.Usage{
			Requests: max(old.Requests+sign*int(p.Requests), 0), Retries: max(old.Retries+sign*int(p.Repeats), 0),
		}
	}
}

// report returns the aggregate in the form in which it is sent.
func (a *aggregate) report() report {
	r := report{Nodes: uint16(a.nodes)}
	for id, units := range a.loads {
		if units > 0 && len(r.Loads) < maxLoads {
			r.Loads = append(r.Loads, Load{ID: id, Units: uint16(min(units, 1<<16-1))})
		}
	}
	for id, p := range a.spent {
		r.Spent = append(r.Spent, Spent{ID: id, Requests: uint32(p.Requests), Repeats: uint32(p.Retries)})
	}
	return r
}

// Report returns this node's report to its reader; nil in a fleet of few nodes.
func (t *Broadcaster) Report() []byte {
	if t.cfg.SmallFleet() {
		return nil
	}
	own := report{Loads: t.loads(), Spent: t.spent(), Nodes: 1}
	t.mu.Lock()
	t.ownReport = own
	t.mu.Unlock()
	body, err := encoder.CBOR(own)
	if err != nil {
		return nil // numbers always encode
	}
	return body
}

// HandleReport stores another node's report and returns the sum over all nodes with
// recent reports, this one included.
func (t *Broadcaster) HandleReport(from string, body []byte) []byte {
	r, err := encoder.FromCBOR[report](body)
	if err != nil {
		return nil // from a node of another build; its load counts as unknown
	}
	own := report{Loads: t.loads(), Spent: t.spent()}
	sum := t.addReport(from, r)
	sum.add(own, 1)
	sum.nodes++
	answer, err := encoder.CBOR(sum.report())
	if err != nil {
		return nil // numbers always encode
	}
	return answer
}

// addReport stores another node's report and returns the sum over all other nodes with
// recent reports.
func (t *Broadcaster) addReport(from string, r report) *aggregate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.reports[from] = receivedReport{report: r, at: now}
	sum := t.sumReports(now)
	t.trend = t.trend.with(sum.meanUnits(), now)
	return sum
}

// sumReports sums the recent reports and drops the others. The caller must hold mu.
func (t *Broadcaster) sumReports(now time.Time) *aggregate {
	sum := newAggregate(now)
	for from, r := range t.reports {
		if now.Sub(r.at) > maxReportAge {
			delete(t.reports, from)
			continue
		}
		sum.add(r.report, 1)
		sum.nodes++
	}
	return sum
}

// HandleAggregate stores the aggregate that this node's reader sent, less this
// node's own report.
func (t *Broadcaster) HandleAggregate(body []byte) {
	r, err := encoder.FromCBOR[report](body)
	if err != nil {
		return // from a node of another build; the load of other nodes counts as unknown
	}
	sum := newAggregate(t.cfg.Now())
	sum.add(r, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	sum.add(t.ownReport, -1)
	sum.nodes = max(int(r.Nodes)-1, 0)
	t.aggregate = sum
	t.trend = t.trend.with(sum.meanUnits(), sum.at)
}

// ReportedTokens returns this node's tokens at an endpoint as last reported to its
// reader; 0 in a fleet of few nodes. The aggregate that the reader sent back is as
// old.
func (t *Broadcaster) ReportedTokens(id string) int {
	if t.cfg.SmallFleet() {
		return 0
	}
	key := shortID(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.ownReport.Loads {
		if l.ID == key {
			return int(l.Units) * tokensPerUnit
		}
	}
	return 0
}

// currentAggregate returns the aggregate of the other nodes of the data centre: the
// reader's if it is recent, otherwise the sum of the reports that this node
// received.
func (t *Broadcaster) currentAggregate() *aggregate {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aggregate != nil && now.Sub(t.aggregate.at) <= maxReportAge {
		return t.aggregate
	}
	return t.sumReports(now)
}
