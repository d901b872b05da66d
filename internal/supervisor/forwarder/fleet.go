package forwarder

import (
	"slices"
	"time"

	"banyanquay/internal/mapper"
	"banyanquay/internal/registrar"
)

// endpointIndex groups the known endpoints by service. It is immutable.
type endpointIndex struct {
	// table and configuration are what the index was built from.
	table         *registrar.Table
	configuration *mapper.Configuration
	services      map[string]*members
}

// members are the endpoints of one service.
type members struct {
	service mapper.Service
	// entries are the endpoints that are not leaving.
	entries []registrar.Entry
	// holders are the entries that hold layers.
	holders []holder
	// medianLayerTime is the median time of a step of one layer, in milliseconds.
	medianLayerTime float64
	// ranks are the distinct ranks of the service's requests, most urgent first.
	ranks []int
	// priorities is the number of distinct priorities of the service's requests, and
	// routePriorities that of its routes.
	priorities      int
	routePriorities int
	// versions are the versions of the weights in use, the one with the most layers
	// held first.
	versions []string
	// endpointPriorities are the priorities at endpoints that new requests have.
	endpointPriorities []int
}

// newEndpointIndex joins a table of endpoints with the services of a configuration.
func newEndpointIndex(table *registrar.Table, cfg *mapper.Configuration) *endpointIndex {
	index := &endpointIndex{
		table: table, configuration: cfg,
		services: make(map[string]*members),
	}
	for _, e := range dropReplaced(usableEntries(table, cfg)) {
		service, _ := cfg.Service(e.Service)
		m := index.services[e.Service]
		if m == nil {
			m = newMembers(service, cfg.Priorities(e.Service))
			index.services[e.Service] = m
		}
		if !e.Leaving {
			m.add(e)
		}
	}
	for _, m := range index.services {
		m.sortVersions()
		m.medianLayerTime = medianLayerTime(m.holders)
	}
	return index
}

// newMembers returns a service without endpoints.
func newMembers(service mapper.Service, p mapper.Priorities) *members {
	m := &members{service: service, ranks: p.Ranks, priorities: len(p.Requests), routePriorities: len(p.Routes)}
	m.endpointPriorities = m.takenPriorities(p.Requests)
	return m
}

// usableEntries returns the entries that describe an endpoint of a service of the
// configuration. Those left by other programs must not affect the others.
func usableEntries(table *registrar.Table, cfg *mapper.Configuration) []registrar.Entry {
	return slices.DeleteFunc(table.All(), func(e registrar.Entry) bool {
		service, ok := cfg.Service(e.Service)
		return !ok || service.Engine != nil && service.Engine.Layers > 0 && !e.FitsModel(service.Engine.Layers)
	})
}

// dropReplaced removes the entries whose address belongs to an endpoint that
// started later.
func dropReplaced(entries []registrar.Entry) []registrar.Entry {
	latest := make(map[string]int64, len(entries))
	for _, e := range entries {
		latest[e.Address] = max(latest[e.Address], e.Born)
	}
	return slices.DeleteFunc(entries, func(e registrar.Entry) bool { return e.Born < latest[e.Address] })
}

// layered reports whether the service's engines hold layer ranges of a model.
func (m *members) layered() bool {
	return m.service.Engine != nil && m.service.Engine.Layers > 0
}

// add adds an endpoint, also to the holders if it holds layers.
func (m *members) add(e registrar.Entry) {
	m.entries = append(m.entries, e)
	engine := m.service.Engine
	if !m.layered() || !e.Holds() {
		return
	}
	accelerator, _ := engine.Accelerator(e.Accelerator)
	step := float64(engine.Step) * accelerator.Pace / float64(time.Millisecond)
	m.holders = append(m.holders, holder{
		entry: e, tokenCapacity: engine.FreeTokens(accelerator, e.Last-e.First), layerTime: step / float64(engine.Layers), accelerator: accelerator,
	})
}

// holder returns the holder with the given endpoint ID, and whether there is one.
func (m *members) holder(id string) (holder, bool) {
	at := slices.IndexFunc(m.holders, func(h holder) bool { return h.entry.ID == id })
	if at < 0 {
		return holder{}, false
	}
	return m.holders[at], true
}

// sortVersions orders the versions of the weights by the number of layers held,
// highest first.
func (m *members) sortVersions() {
	held := make(map[string]int)
	for _, e := range m.entries {
		if e.Holds() {
			held[e.Version] += e.Last - e.First
		}
	}
	for version, layers := range held {
		at := 0
		for at < len(m.versions) && held[m.versions[at]] >= layers {
			at++
		}
		m.versions = append(m.versions[:at], append([]string{version}, m.versions[at:]...)...)
	}
}

// index returns the index of the current endpoints. If the table or the
// configuration has changed, it builds a new one and drops what is kept of
// endpoints that are gone.
func (f *Forwarder) index(cfg *mapper.Configuration) *endpointIndex {
	table := f.cfg.Endpoints()
	current := f.current.Load()
	if current != nil && current.table == table && current.configuration == cfg {
		return current
	}
	next := newEndpointIndex(table, cfg)
	f.current.Store(next)
	listed := func(id string) bool {
		_, ok := table.Get(id)
		return ok
	}
	f.assessor.Retain(listed)
	f.cfg.Throttler.Retain(listed)
	known := make(map[string]bool, table.Len())
	for _, e := range table.All() {
		known[e.Address], known[e.ID] = true, true
	}
	f.prober.prune(known)
	f.monitor.reports.prune(known)
	f.monitor.prune(known)
	return next
}

// members returns the current endpoints of a service.
func (f *Forwarder) members(service string) (*members, bool) {
	cfg := f.cfg.View().Configuration
	if cfg == nil {
		return nil, false
	}
	m, ok := f.index(cfg).services[service]
	return m, ok
}
