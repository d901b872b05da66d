package bencher

import (
	"errors"
	"time"

	"banyanquay/internal/standin/verifier"
)

// Shortfall is a request of an organisation within its share that was not
// answered completely and correctly.
type Shortfall struct {
	Organisation int    `json:"organisation"`
	Node         int    `json:"node"`
	Cause        string `json:"cause"`
	Detail       string `json:"detail"`
	// At is the time of sending from the start of the run, and Took the time to
	// the failure, both in seconds.
	At   float64 `json:"at_s"`
	Took float64 `json:"took_s"`
	// Tokens is the number of tokens received.
	Tokens int `json:"tokens"`
	// HereDemand is the load that the organisation offered at the node, and
	// FleetDemand at all nodes, during one time limit before the request, as
	// parts of its share of the bound at one node and at all.
	HereDemand  float64 `json:"here_demand"`
	FleetDemand float64 `json:"fleet_demand"`
}

// shortfall describes a failed request, with its organisation's demand before it.
func (b *Bencher) shortfall(o outcome, done []outcome, nodes int) Shortfall {
	cause, _ := o.failureCause()
	s := Shortfall{
		Organisation: o.organisation,
		Node:         o.node,
		Cause:        cause,
		Detail:       o.err.Error(),
		At:           o.sent.Seconds(),
		Took:         (o.failed - o.sent).Seconds(),
		Tokens:       len(o.tokens),
	}
	var r *verifier.Refused
	if errors.As(o.err, &r) {
		s.Detail = r.Problem.Detail
	}
	atNode, inFleet := 0, 0
	span := min(b.cfg.Deadline, o.at+time.Millisecond)
	for _, other := range done {
		if other.organisation != o.organisation || other.at > o.at || other.at <= o.at-span {
			continue
		}
		inFleet++
		if other.node == o.node {
			atNode++
		}
	}
	share := b.cfg.Organisations[o.organisation].Share * b.bound * span.Seconds() / float64(b.cfg.Tokens)
	s.HereDemand = ratio(float64(atNode*nodes), share)
	s.FleetDemand = ratio(float64(inFleet), share)
	return s
}
