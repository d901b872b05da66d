package mapper

import "slices"

// Priorities are the priorities that requests to a service can have, each list without
// duplicates and in ascending order. They must not be changed.
type Priorities struct {
	// Routes are the priorities of the routes that offer the service, and Requests those
	// and the organisations'.
	Routes   []int
	Requests []int
	// Ranks are the ranks of its requests.
	Ranks []int
}

// Priorities returns the priorities that requests to a service can have.
func (c *Configuration) Priorities(service string) Priorities { return c.priorities[service] }

// rankFactor is above any priority, so that the first priority of a rank decides.
const rankFactor = 1 << 16

// Rank orders the requests of a route and an organisation; a lower one goes first. The
// organisation's priority takes precedence, and the route's decides among requests of equal
// one. Requests of organisations without a priority are ordered by their route's alone.
func (r Route) Rank(o Organisation) int {
	first := r.Priority
	if o.HasPriority {
		first = o.Priority
	}
	return first*rankFactor + r.Priority
}

// rankedRoute is what the rank of a route's requests depends on.
type rankedRoute struct {
	priority int
	// open is set if the route takes requests without a key.
	open bool
}

// rank returns the priorities by service.
func (c *Configuration) rank() map[string]Priorities {
	organisations := make(map[Organisation]bool)
	for _, o := range c.keys {
		organisations[Organisation{Priority: o.Priority, HasPriority: o.HasPriority}] = true
	}
	routes := make(map[string]map[rankedRoute]bool)
	for _, r := range c.routes {
		for _, o := range r.Offers {
			if routes[o.Service] == nil {
				routes[o.Service] = make(map[rankedRoute]bool)
			}
			routes[o.Service][rankedRoute{priority: r.Priority, open: r.Anonymous || !c.keyRequired}] = true
		}
	}
	all := make(map[string]Priorities, len(routes))
	for service, ranked := range routes {
		var p Priorities
		for r := range ranked {
			p.Routes = append(p.Routes, r.priority)
			p.Requests = append(p.Requests, r.priority)
			if r.open {
				p.Ranks = append(p.Ranks, Route{Priority: r.priority}.Rank(Organisation{}))
			}
			for o := range organisations {
				p.Ranks = append(p.Ranks, Route{Priority: r.priority}.Rank(o))
			}
		}
		for o := range organisations {
			if o.HasPriority {
				p.Requests = append(p.Requests, o.Priority)
			}
		}
		for _, list := range []*[]int{&p.Routes, &p.Requests, &p.Ranks} {
			slices.Sort(*list)
			*list = slices.Compact(*list)
		}
		all[service] = p
	}
	return all
}
