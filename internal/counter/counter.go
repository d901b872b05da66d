// Package counter holds the metrics that expvar publishes.
package counter

import (
	"expvar"
	"reflect"
)

// Set is the metrics of one daemon. Its maps can be used unpublished, so that
// many daemons fit in one test process.
type Set struct {
	// Refusals counts refusals by the name of their code.
	Refusals *expvar.Map `expvar:"banyanquay.refusals"`
	// Retries counts retries by reason.
	Retries *expvar.Map `expvar:"banyanquay.retries"`
	// Stages counts replaced stages by how their caches were rebuilt, and
	// imports of caches that failed by what failed; before relaying endpoints
	// stalls, changed paths, doubts by reason, and looks that came late since this
	// process did not run (late_ticks).
	Stages *expvar.Map `expvar:"banyanquay.stages"`
	// Requests counts requests by how they ended.
	Requests *expvar.Map `expvar:"banyanquay.requests"`
	// Ledger counts appends, claims and their ends.
	Ledger *expvar.Map `expvar:"banyanquay.ledger"`
	// Fleet counts messages and bytes between nodes, and membership changes.
	Fleet *expvar.Map `expvar:"banyanquay.fleet"`
	// Config counts configuration records by what became of them.
	Config *expvar.Map `expvar:"banyanquay.config"`
	// Placement counts leases, loads and orders by what became of them.
	Placement *expvar.Map `expvar:"banyanquay.placement"`
}

// New returns an unpublished set.
func New() *Set {
	return &Set{
		Refusals:  new(expvar.Map).Init(),
		Retries:   new(expvar.Map).Init(),
		Stages:    new(expvar.Map).Init(),
		Requests:  new(expvar.Map).Init(),
		Ledger:    new(expvar.Map).Init(),
		Fleet:     new(expvar.Map).Init(),
		Config:    new(expvar.Map).Init(),
		Placement: new(expvar.Map).Init(),
	}
}

// Publish names the maps in expvar by their tags; call it once in a process.
func (s *Set) Publish() {
	v := reflect.ValueOf(*s)
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("expvar")
		expvar.Publish(name, v.Field(i).Interface().(*expvar.Map))
	}
}
