package admitter

// minStart returns the minimum start of a flow, given the total weight of the
// flows with work. It limits what an organisation that used less than its share
// can catch up on: to its share of the node's work in cfg.Burst, and to what the
// others were granted since the node was last idle.
func (q *queue) minStart(totalWeight float64) float64 {
	burst := float64(q.cfg.Capacity) * float64(q.cfg.Burst) / float64(q.tokenTime)
	return max(q.virtualTime-burst/totalWeight, 0)
}

// withinShare reports whether one more request keeps the flow within its share:
// its granted and waiting work does not exceed the share so far, or one of its
// own slots is still free.
func (q *queue) withinShare(f *flow) bool {
	if f.start+f.queuedWork()/f.weight <= q.virtualTime {
		return true
	}
	return float64(f.running+len(f.waiting)+1) <= q.ownSlots(f)
}

// queuedWork returns the cost of the flow's waiting requests.
func (f *flow) queuedWork() float64 {
	work := 0.0
	for _, it := range f.waiting {
		work += it.cost()
	}
	return work
}

// ownSlots returns the flow's share of the slots, by the weights of all flows
// with work.
func (q *queue) ownSlots(f *flow) float64 {
	return float64(q.cfg.Capacity) * f.weight / q.totalWeight(f)
}

// totalWeight returns the sum of the weights of a flow and of all others with
// work.
func (q *queue) totalWeight(f *flow) float64 {
	sum := f.weight
	for _, other := range q.flows {
		if other != f && other.busy() {
			sum += other.weight
		}
	}
	return sum
}
