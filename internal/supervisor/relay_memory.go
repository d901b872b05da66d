package supervisor

import (
	"expvar"

	"banyanquay/internal/bounder"
	"banyanquay/internal/loader"
)

// defaultMemoryMB replaces a memory limit that is not set, in the sizes of the budget. It is the
// memory that a node may use in all.
const defaultMemoryMB = 256

// RelayBudget returns the budget for what other parties send to a node in front of relaying
// endpoints. Its metrics are added to the map, unless that is nil.
func RelayBudget(s loader.Relay, metrics *expvar.Map) bounder.Budget {
	if s.MemoryMB <= 0 {
		return bounder.NewBudget(defaultMemoryMB<<20, metrics)
	}
	memory := int64(s.MemoryMB) << 20
	b := bounder.NewBudget(memory, metrics)
	b.LimitProcess(memory)
	return b
}
