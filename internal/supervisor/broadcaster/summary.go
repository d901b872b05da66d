package broadcaster

import (
	"math"
	"time"

	"banyanquay/internal/supervisor/forwarder/forecaster"
)

// In a large fleet a node knows the loads of its own data centre only. The nodes send
// each other summaries of them over the links between data centres, and on within a data
// centre. They aren't part of a report: a report is a CBOR array, and a node of an older
// build rejects one with more elements.

const (
	// summaryInterval is the least time between two messages with summaries over a link.
	// With sendInterval that makes one in every second message.
	summaryInterval = 500 * time.Millisecond
	// maxSummaryAge is the age above which a summary no longer counts, as of an aggregate.
	maxSummaryAge = maxReportAge
	// maxSummaries bounds the summaries of one message and those that are kept: those of
	// sixteen services and four data centres.
	maxSummaries = 64
	// maxSummaryLoads bounds the loads of one summary.
	maxSummaryLoads = 16
	// loadUnit and ageUnit are the units in which loads and ages are sent. Finer ones take
	// a byte more each.
	loadUnit = 0.01
	ageUnit  = 10 * time.Millisecond
)

// Summary is the utilisation of a service's engines by the nodes of one data centre.
// Names are sent as their hashes.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Service uint32
	// Age is the age at the time of sending in units of ageUnit, rounded up. Clocks of
	// nodes may differ.
	Age uint16
	// Loads are by the data centre of the engines. The first is that of the nodes
	// themselves.
	Loads []CentreLoad
}

// CentreLoad is the utilisation of the engines in a data centre.
type CentreLoad struct {
	_      struct{} `cbor:",toarray"`
	Centre uint32
	// Load is in units of loadUnit.
	Load uint16
}

// summaryKey identifies what a summary is of.
type summaryKey struct{ source, service uint32 }

// summary is a summary as it is kept. It is an immutable value once made.
type summary struct {
	loads []CentreLoad
	// at is the time for which the loads hold.
	at time.Time
}

// summaries holds the newest summary of each data centre and service. It is not safe
// for concurrent use.
type summaries map[summaryKey]summary

// put stores a summary unless there is one that is as new.
func (s summaries) put(key summaryKey, value summary) {
	old, ok := s[key]
	if !ok && len(s) >= maxSummaries {
		return
	}
	if value.at.After(old.at) {
		s[key] = value
	}
}

// expire drops the summaries that no longer count.
func (s summaries) expire(now time.Time) {
	for key, value := range s {
		if now.Sub(value.at) > maxSummaryAge {
			delete(s, key)
		}
	}
}

// newSummaries returns the summaries of the loads that the nodes of a data centre put on
// engines, by service.
func newSummaries(centre string, loads []forecaster.CentreLoad, at time.Time) summaries {
	all := make(summaries)
	source := shortID(centre)
	for _, l := range loads {
		key := summaryKey{source, shortID(l.Service)}
		s, ok := all[key]
		if !ok {
			s = summary{loads: []CentreLoad{{Centre: source}}, at: at}
		}
		load := CentreLoad{Centre: shortID(l.Centre), Load: uint16(min(math.Round(l.Load/loadUnit), math.MaxUint16))}
		if load.Centre == source {
			s.loads[0] = load
		} else if len(s.loads) < maxSummaryLoads {
			s.loads = append(s.loads, load)
		}
		all[key] = s
	}
	return all
}

// summarise replaces this node's summaries by its present loads, once in a
// summaryInterval. It keeps the old ones until they expire while it has no recent
// aggregate: it then guesses the loads of the other nodes, and a guess must not count
// elsewhere.
func (t *Broadcaster) summarise() {
	now := t.cfg.Now()
	t.mu.Lock()
	due := now.Sub(t.summarised) >= summaryInterval
	if due {
		t.summarised = now
	}
	t.mu.Unlock()
	if !due || t.cfg.SmallFleet() {
		return
	}
	// Computed before the lock is taken, since it asks for the loads of other nodes.
	loads := t.cfg.CentreLoads()
	own := shortID(t.cfg.Centre)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summaries.expire(now)
	at, known := t.loadsAsOf(now)
	if !known {
		return
	}
	for key := range t.summaries {
		if key.source == own {
			delete(t.summaries, key)
		}
	}
	for key, s := range newSummaries(t.cfg.Centre, loads, at) {
		t.summaries.put(key, s)
	}
}

// loadsAsOf returns the time for which the loads of the data centre hold as this node
// knows them, and whether it does. At the reader that is the time of the newest report.
// The caller must hold mu.
func (t *Broadcaster) loadsAsOf(now time.Time) (time.Time, bool) {
	if t.aggregate != nil && now.Sub(t.aggregate.at) <= maxReportAge {
		return t.aggregate.at, true
	}
	var newest time.Time
	for _, r := range t.reports {
		if r.at.After(newest) {
			newest = r.at
		}
	}
	return newest, now.Sub(newest) <= maxReportAge
}

// peerSummaries returns the summaries to send to a peer of a large fleet: between data
// centres those of this one, and within one those of the others, over the links that this
// node opened. So each node gets them from several others. near is set if the peer is in
// this node's data centre. The caller must hold mu.
func (t *Broadcaster) peerSummaries(p *peer, near bool, now time.Time) []Summary {
	own := shortID(t.cfg.Centre)
	if (near && !p.dialled) || now.Sub(p.summarised) < summaryInterval {
		return nil
	}
	p.summarised = now
	var all []Summary
	for key, s := range t.summaries {
		age := max(now.Sub(s.at), 0)
		if (key.source == own) == near || age > maxSummaryAge {
			continue
		}
		all = append(all, Summary{Service: key.service, Age: uint16((age + ageUnit - 1) / ageUnit), Loads: s.loads})
	}
	return all
}

// receiveSummaries stores the summaries that a peer sent. The caller must hold mu.
func (t *Broadcaster) receiveSummaries(received []Summary, now time.Time) {
	own := shortID(t.cfg.Centre)
	t.summaries.expire(now)
	for _, s := range received[:min(len(received), maxSummaries)] {
		at := now.Add(-time.Duration(s.Age) * ageUnit)
		if len(s.Loads) == 0 || len(s.Loads) > maxSummaryLoads || now.Sub(at) > maxSummaryAge {
			continue
		}
		if source := s.Loads[0].Centre; source != own {
			t.summaries.put(summaryKey{source, s.Service}, summary{s.Loads, at})
		}
	}
}

// CentreLoad returns the load that nodes of other data centres put on the engines of a
// service in a data centre, and whether that of its own nodes is in it.
func (t *Broadcaster) CentreLoad(centre, service string) (load float64, known bool) {
	own, at, of := shortID(t.cfg.Centre), shortID(centre), shortID(service)
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.summaries {
		if key.service != of || key.source == own || now.Sub(s.at) > maxSummaryAge {
			continue
		}
		for _, l := range s.loads {
			if l.Centre == at {
				load += float64(l.Load) * loadUnit
				known = known || key.source == at
			}
		}
	}
	return load, known
}
