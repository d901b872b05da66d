package forwarder

// unknownLoad returns the share of the near nodes whose load is unknown, and that
// of nodes in other data centres. Both are 1 at a node that has just started, often
// together with the others. Pooled loads arrive late, so they count as partly
// unknown.
func (f *Forwarder) unknownLoad() (near, far float64) {
	if f.cfg.Starting() {
		return 1, 1
	}
	others := f.cfg.CentreNodes() - 1
	if others > 0 {
		_, reporting := f.cfg.OtherTokens("")
		near = float64(max(others-reporting, 0)) / float64(others)
	}
	if f.cfg.RemoteLoadsKnown() {
		return near, near
	}
	return max(near, pooledUnknownShare), 1
}

// usedTokens returns how many tokens all nodes have in progress at an engine. Near
// nodes that have not reported theirs are assumed to have as many as this one. Where
// loads are pooled, nodes that have reported are assumed to have added as many since
// their report as this node has.
func (f *Forwarder) usedTokens(id string, own int) int {
	others, reporting := f.cfg.OtherTokens(id)
	used := own + others + own*max(f.cfg.CentreNodes()-1-reporting, 0)
	if !f.cfg.RemoteLoadsKnown() {
		used += max(own-f.cfg.ReportedTokens(id), 0) * reporting
	}
	return used
}

// assumedRemoteLoad is the load that engines of other data centres are assumed to have
// from nodes whose load is unknown: the mean load of this data centre's engines. All
// data centres are loaded alike as a rule, and where one has lost engines, the nodes
// there must not all choose the fastest engines elsewhere.
func (f *Forwarder) assumedRemoteLoad(m *members) float64 {
	if f.cfg.RemoteLoadsKnown() {
		return 0
	}
	used, capacity := 0, 0
	for _, h := range m.holders {
		if h.entry.Centre == f.cfg.Centre {
			used += f.usedTokens(h.entry.ID, f.assessor.Record(h.entry.ID).Tokens)
			capacity += h.tokenCapacity
		}
	}
	return min(float64(used)/float64(max(capacity, 1)), 1)
}

// visitingShare is how many tokens nodes of other data centres have in progress at this
// data centre's engines, for each token of its own nodes there: as they report, or else as
// many as its own nodes have at engines elsewhere. Without this, engines that many data
// centres choose are taken for a fifth to a third less loaded than they are.
func (f *Forwarder) visitingShare(m *members) float64 {
	if f.cfg.RemoteLoadsKnown() {
		return 0
	}
	if visiting, _ := f.cfg.CentreLoad(f.cfg.Centre, m.service.Name); visiting > 0 {
		return min(visiting/max(f.assumedRemoteLoad(m), minReportedLoad), 1)
	}
	near, far := 0, 0
	for _, h := range m.holders {
		used := f.usedTokens(h.entry.ID, f.assessor.Record(h.entry.ID).Tokens)
		if h.entry.Centre == f.cfg.Centre {
			near += used
		} else {
			far += used
		}
	}
	return min(float64(far)/float64(max(near, 1)), 1)
}

// similarNodes returns the number of near nodes whose load is unknown, including this
// node. They are assumed to have the same load as this node.
func (f *Forwarder) similarNodes() float64 {
	_, reporting := f.cfg.OtherTokens("")
	return float64(1 + max(f.cfg.CentreNodes()-1-reporting, 0))
}
