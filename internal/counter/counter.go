// Package counter holds the metrics published by expvar.
package counter

import (
	"expvar"
	"reflect"
)

// Set holds the metrics of one daemon. The maps can be used without being published,
// so that one test process can run several daemons.
type Set struct {
	// Refusals counts refusals by the name of their code.
	Refusals *expvar.Map `expvar:"banyanquay.refusals"`
	// Retries counts retries by reason, and requests that an endpoint's limit kept from it
	// (limit_reached).
	Retries *expvar.Map `expvar:"banyanquay.retries"`
	// Stages counts replaced stages by how their KV caches were rebuilt, and failed
	// cache imports by what failed. With relay.enabled it counts stalls, changed paths,
	// endpoints that became suspect (doubts) by reason, parts of prompts and requests
	// that were quarantined and released (parts_held, parts_released), endpoints that only
	// other nodes reach (endpoints_unreached), calls by way of other nodes (detours,
	// detours_failed) and for them (detours_served), streams that restarted for want of a
	// connection (reconnects), endpoints that named and ended
	// a limit (limits_named, limits_ended), answers without a length whose endpoint had
	// stopped behind them, by what that shows (ends_crashed, ends_cut_off, ends_unproven), and
	// checks for stalls that came late because this process was paused (late_ticks).
	Stages *expvar.Map `expvar:"banyanquay.stages"`
	// Room has, with relay.enabled, for each service the load and the levels of its classes as
	// last used (SERVICE.load, SERVICE.levels) and the refusals for lack of room by cause and
	// class (SERVICE.refused.CAUSE.CLASS), and the number of requests that wait (waiting).
	Room *expvar.Map `expvar:"banyanquay.room"`
	// Requests counts requests by outcome.
	Requests *expvar.Map `expvar:"banyanquay.requests"`
	// Prompts counts long prompts with relay.enabled: all (long), those held while they
	// would have held up short ones (held) and for how long in sum (held_millis), and those
	// sent one priority behind short ones of their class (behind).
	Prompts *expvar.Map `expvar:"banyanquay.prompts"`
	// Ledger counts appends, claims and how claims ended.
	Ledger *expvar.Map `expvar:"banyanquay.ledger"`
	// Fleet counts messages and bytes between nodes, and membership changes.
	Fleet *expvar.Map `expvar:"banyanquay.fleet"`
	// Config counts configuration records by outcome. With relay.enabled it also counts reads of the store by way of other
	// nodes (reads_relayed), tries at which none could read it (reads_not_relayed), and reads for them (reads_for_others).
	Config *expvar.Map `expvar:"banyanquay.config"`
	// Placement counts leases, loads and orders by outcome.
	Placement *expvar.Map `expvar:"banyanquay.placement"`
	// Memory has the bytes that buffered data of other parties uses, and the number of
	// reservations that were not granted, by pool: requests_used, requests_refused, and the same
	// for calls (endpoints' answers), control (the platform and other nodes) and reports
	// (endpoints' reports and their answers to orders).
	Memory *expvar.Map `expvar:"banyanquay.memory"`
}

// New returns an unpublished set.
func New() *Set {
	return &Set{
		Refusals:  new(expvar.Map).Init(),
		Retries:   new(expvar.Map).Init(),
		Stages:    new(expvar.Map).Init(),
		Room:      new(expvar.Map).Init(),
		Requests:  new(expvar.Map).Init(),
		Prompts:   new(expvar.Map).Init(),
		Ledger:    new(expvar.Map).Init(),
		Fleet:     new(expvar.Map).Init(),
		Config:    new(expvar.Map).Init(),
		Placement: new(expvar.Map).Init(),
		Memory:    new(expvar.Map).Init(),
	}
}

// Publish registers the maps with expvar under the names in their tags. Call it at most
// once per process.
func (s *Set) Publish() {
	v := reflect.ValueOf(*s)
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("expvar")
		expvar.Publish(name, v.Field(i).Interface().(*expvar.Map))
	}
}
