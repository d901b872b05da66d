package forwarder

import (
	"slices"

	"banyanquay/internal/supervisor/forwarder/pacer"
)

// priority is the request's priority among those that wait at an endpoint; 0 goes
// first. A stream that continues elsewhere is the most urgent: its caller waits for
// the next event, not for the first.
func (c *call) priority() int {
	if c.answered {
		// Many streams move at once: serving short prompts first keeps most of them in time.
		return min(c.PromptTokens/tokensPerPriority, firstNewPriority-1)
	}
	priority := c.classPriority()
	if c.behind {
		return pacer.Step(priority, lowestPriority, c.members.endpointPriorities)
	}
	return priority
}

// classPriority is the priority of a new request by its route and its organisation alone.
func (c *call) classPriority() int {
	if c.members != nil && c.members.ranked() {
		return rankPriority(c.class(), len(c.members.ranks))
	}
	if c.organisation.HasPriority {
		return newPriority(c.organisation.Priority)
	}
	return newPriority(c.route.Priority)
}

// ranked reports whether requests of a service differ in rank where they have the same
// priority, since the priorities of routes decide among the requests of organisations with
// equal ones. Engines then get the class of a request.
func (m *members) ranked() bool { return len(m.ranks) > m.priorities }

// rankPriority converts a class to the priority of a new request at an endpoint. Classes
// beyond the number of such priorities share them.
func rankPriority(class, classes int) int {
	const available = lowestPriority - firstNewPriority + 1
	if classes > available {
		class = class * available / classes
	}
	return firstNewPriority + class
}

// newPriority converts a configured priority to that of a new request at an endpoint.
func newPriority(priority int) int {
	return min(firstNewPriority+max(priority, 0), lowestPriority)
}

const (
	// firstNewPriority is the most urgent priority of requests that have not begun,
	// and lowestPriority the least urgent one that endpoints know.
	firstNewPriority = 4
	lowestPriority   = 9
	// tokensPerPriority is the number of prompt tokens per priority among streams that
	// move.
	tokensPerPriority = 450
)

// takenPriorities returns the priorities at endpoints that new requests to a service have.
func (m *members) takenPriorities(requests []int) []int {
	var taken []int
	if m.ranked() {
		for class := range m.ranks {
			taken = append(taken, rankPriority(class, len(m.ranks)))
		}
		return slices.Compact(taken)
	}
	for _, p := range requests {
		taken = append(taken, newPriority(p))
	}
	return slices.Compact(taken)
}
