package forwarder

import (
	"slices"
	"time"

	"banyanquay/internal/mapper"
	"banyanquay/internal/registrar"
)

// fleet is the endpoints as the forwarder uses them. It is immutable.
type fleet struct {
	// table and configuration are what it was made of.
	table         *registrar.Table
	configuration *mapper.Configuration
	services      map[string]*members
}

// members are the endpoints of one service.
type members struct {
	service mapper.Service
	// entries are those that are not leaving.
	entries []registrar.Entry
	// holders are those of them that hold layers.
	holders []holder
	// usual is the median time of a step of one layer, in milliseconds.
	usual float64
	// versions are the weights' versions in use, that of the most layers first.
	versions []string
}

// newFleet joins a table of endpoints with what the configuration says of
// their services.
func newFleet(table *registrar.Table, cfg *mapper.Configuration) *fleet {
	f := &fleet{
		table: table, configuration: cfg,
		services: make(map[string]*members),
	}
	for _, e := range newest(table.All()) {
		service, ok := cfg.Service(e.Service)
		if !ok {
			continue
		}
		m := f.services[e.Service]
		if m == nil {
			m = &members{service: service}
			f.services[e.Service] = m
		}
		if !e.Leaving {
			m.add(e)
		}
	}
	for _, m := range f.services {
		m.rank()
		m.usual = usual(m.holders)
	}
	return f
}

// newest returns the entries without those whose address a later start has
// taken.
func newest(entries []registrar.Entry) []registrar.Entry {
	born := make(map[string]int64, len(entries))
	for _, e := range entries {
		born[e.Address] = max(born[e.Address], e.Born)
	}
	return slices.DeleteFunc(entries, func(e registrar.Entry) bool { return e.Born < born[e.Address] })
}

// layered tells whether the service's engines hold parts of a model.
func (m *members) layered() bool {
	return m.service.Engine != nil && m.service.Engine.Layers > 0
}

// add adds an endpoint.
func (m *members) add(e registrar.Entry) {
	m.entries = append(m.entries, e)
	engine := m.service.Engine
	if !m.layered() || !e.Holds() {
		return
	}
	kind, _ := engine.Accelerator(e.Accelerator)
	step := float64(engine.Step) * kind.Pace / float64(time.Millisecond)
	m.holders = append(m.holders, holder{
		entry: e, room: engine.FreeTokens(kind, e.Last-e.First), layer: step / float64(engine.Layers), kind: kind,
	})
}

// holder returns an engine that holds layers.
func (m *members) holder(id string) (holder, bool) {
	at := slices.IndexFunc(m.holders, func(h holder) bool { return h.entry.ID == id })
	if at < 0 {
		return holder{}, false
	}
	return m.holders[at], true
}

// rank orders the versions by the layers held of them.
func (m *members) rank() {
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

// fleet returns the endpoints as known now.
func (f *Forwarder) fleet(cfg *mapper.Configuration) *fleet {
	table := f.cfg.Endpoints()
	current := f.current.Load()
	if current != nil && current.table == table && current.configuration == cfg {
		return current
	}
	next := newFleet(table, cfg)
	f.current.Store(next)
	f.assessor.Retain(func(id string) bool {
		_, ok := table.Get(id)
		return ok
	})
	known := make(map[string]bool, table.Len())
	for _, e := range table.All() {
		known[e.Address], known[e.ID] = true, true
	}
	f.prober.keep(known)
	f.monitor.reports.keep(known)
	f.monitor.keep(known)
	return next
}

// members returns a service's endpoints as known now.
func (f *Forwarder) members(service string) (*members, bool) {
	cfg := f.cfg.View().Configuration
	if cfg == nil {
		return nil, false
	}
	m, ok := f.fleet(cfg).services[service]
	return m, ok
}
