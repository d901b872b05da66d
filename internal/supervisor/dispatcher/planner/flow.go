package planner

// flow is a maximum flow from endpoints to blocks of layers, in layers a
// second, found by augmenting along shortest paths.
type flow struct {
	allocation *allocation
	// spare is each endpoint's unused capacity.
	spare []float64
	// demand is each block's work that is not assigned yet, and shortfall its
	// sum.
	demand    []float64
	shortfall float64
	// negligibleDemand is the demand up to which a block counts as served.
	negligibleDemand float64
	// assigned[e][i] is endpoint e's work on its i-th block.
	assigned [][]float64
	// edges lists each block's edges to its holders.
	edges [][]edge
}

// edge connects an endpoint with the block at an index of its list of held
// blocks.
type edge struct {
	endpoint int
	index    int
}

// newFlow returns an empty flow for a rate.
func newFlow(a *allocation, rate float64) *flow {
	f := &flow{
		allocation:       a,
		spare:            append([]float64(nil), a.capacities...),
		negligibleDemand: rate * tolerance / 1e3,
		demand:           make([]float64, a.blockCount()),
		assigned:         make([][]float64, len(a.heldBlocks)),
		edges:            make([][]edge, a.blockCount()),
	}
	for b := range f.demand {
		f.demand[b] = rate * a.layersIn(b)
		f.shortfall += f.demand[b]
	}
	for e, blocks := range a.heldBlocks {
		f.assigned[e] = make([]float64, len(blocks))
		for at, b := range blocks {
			f.edges[b] = append(f.edges[b], edge{e, at})
		}
	}
	return f
}

// maximise augments until no block with demand can reach spare capacity.
func (f *flow) maximise() {
	for f.augment() {
	}
}

// visit is a block that a search has reached through an endpoint that holds
// both this block and its parent, and could move work from this block to the
// parent.
type visit struct {
	block int
	// parent is the index of the previous visit, and -1 at the start.
	parent int
	// increase and decrease are the endpoint's edges to the parent block, of
	// which it would do more, and to this one, of which it would do less.
	increase edge
	decrease edge
}

// augment searches breadth first from the blocks with demand, over endpoints
// that could move work between blocks, for an endpoint with spare capacity, and
// shifts as much work as the path allows. It returns false if there is no path.
func (f *flow) augment() bool {
	visits, seen := f.startVisits()
	for i := 0; i < len(visits); i++ {
		for _, e := range f.edges[visits[i].block] {
			if f.spare[e.endpoint] > f.negligibleCapacity(e.endpoint) {
				f.pushFlow(visits, i, e)
				return true
			}
			visits = f.visitReassignable(visits, seen, i, e)
		}
	}
	return false
}

// negligibleCapacity is the work up to which an endpoint counts as having none,
// spare or assigned.
func (f *flow) negligibleCapacity(endpoint int) float64 {
	return f.allocation.capacities[endpoint] * tolerance / 1e3
}

// startVisits returns visits of the blocks with demand.
func (f *flow) startVisits() ([]visit, []bool) {
	var visits []visit
	seen := make([]bool, len(f.demand))
	for b, demand := range f.demand {
		if demand > f.negligibleDemand {
			seen[b] = true
			visits = append(visits, visit{block: b, parent: -1})
		}
	}
	return visits, seen
}

// visitReassignable adds the blocks from which an endpoint could move work
// away.
func (f *flow) visitReassignable(visits []visit, seen []bool, parent int, e edge) []visit {
	for at, b := range f.allocation.heldBlocks[e.endpoint] {
		if !seen[b] && f.assigned[e.endpoint][at] > f.negligibleCapacity(e.endpoint) {
			seen[b] = true
			visits = append(visits, visit{block: b, parent: parent, increase: e, decrease: edge{e.endpoint, at}})
		}
	}
	return visits
}

// pushFlow moves work along the path that ends at an endpoint with spare
// capacity.
func (f *flow) pushFlow(visits []visit, end int, lastEdge edge) {
	amount := f.spare[lastEdge.endpoint]
	at := end
	for ; visits[at].parent >= 0; at = visits[at].parent {
		decrease := visits[at].decrease
		amount = min(amount, f.assigned[decrease.endpoint][decrease.index])
	}
	start := visits[at].block
	amount = min(amount, f.demand[start])
	f.spare[lastEdge.endpoint] -= amount
	f.assigned[lastEdge.endpoint][lastEdge.index] += amount
	for at = end; visits[at].parent >= 0; at = visits[at].parent {
		v := visits[at]
		f.assigned[v.decrease.endpoint][v.decrease.index] -= amount
		f.assigned[v.increase.endpoint][v.increase.index] += amount
	}
	f.demand[start] -= amount
	f.shortfall -= amount
}

// unservedBlocks returns the blocks that a search from the blocks with demand
// reaches. Once the flow is maximal, none of them can reach spare capacity, and
// they are the demand side of the minimum cut.
func (f *flow) unservedBlocks() []bool {
	visits, seen := f.startVisits()
	for i := 0; i < len(visits); i++ {
		for _, e := range f.edges[visits[i].block] {
			visits = f.visitReassignable(visits, seen, i, e)
		}
	}
	return seen
}
