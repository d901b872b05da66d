package forwarder

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"banyanquay/internal/supervisor/forwarder/forecaster"
)

const (
	// roomTTL is how long a forecast is reused: at some hundred requests a second, a
	// request changes it by less than the uncertainty of the loads it is made from.
	roomTTL = 20 * time.Millisecond
	// minCentreGain is by how much the load of another data centre must be below that of
	// this one for requests to go there: its load is known up to 1.8 s late.
	minCentreGain = 0.1
	// minReportedLoad is the load below which nodes of a data centre don't report that
	// they use engines of another one.
	minReportedLoad = 0.01
)

// roomKey identifies a forecast.
type roomKey struct{ service, centre string }

// cachedRoom is a forecast and when it was made.
type cachedRoom struct {
	forecaster.Room
	at time.Time
}

// rooms holds the recent forecasts, and by service what corrects them. It is safe for
// concurrent use.
type rooms struct {
	mu          sync.Mutex
	forecasts   map[roomKey]cachedRoom
	corrections map[string]forecaster.Correction
}

// get returns a forecast that is recent.
func (r *rooms) get(key roomKey, now time.Time) (forecaster.Room, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cached, ok := r.forecasts[key]
	return cached.Room, ok && now.Sub(cached.at) < roomTTL
}

// put stores a forecast and drops those that are no longer recent.
func (r *rooms) put(key roomKey, room forecaster.Room, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forecasts == nil {
		r.forecasts = make(map[roomKey]cachedRoom)
	}
	maps.DeleteFunc(r.forecasts, func(_ roomKey, c cachedRoom) bool { return now.Sub(c.at) >= roomTTL })
	r.forecasts[key] = cachedRoom{Room: room, at: now}
}

// correction returns what corrects a service's estimates.
func (r *rooms) correction(service string) forecaster.Correction {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.corrections[service]
}

// correct adds a request to what corrects a service's estimates.
func (r *rooms) correct(service string, used, estimated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.corrections == nil {
		r.corrections = make(map[string]forecaster.Correction)
	}
	r.corrections[service] = r.corrections[service].With(used, estimated)
}

// room returns the room that a layered service's engines in a data centre have for new
// requests. It has no capacity if there is no path. A forecast is reused for roomTTL.
func (f *Forwarder) room(members *members, centre string) forecaster.Room {
	key, now := roomKey{members.service.Name, centre}, f.cfg.Now()
	if room, ok := f.rooms.get(key, now); ok {
		return room
	}
	opts := roomOptions{centre: centre, avoidSuspects: true, others: true, full: true}
	room := forecaster.Forecast(f.roomInput(members, opts))
	if room.Capacity == 0 {
		// As for a path, suspects count where no others hold the layers.
		opts.avoidSuspects = false
		room = forecaster.Forecast(f.roomInput(members, opts))
	}
	if room.Capacity == 0 && centre == f.cfg.Centre {
		// Paths cross data centres where this one has no whole path.
		opts.centre = ""
		room = forecaster.Forecast(f.roomInput(members, opts))
	}
	f.rooms.put(key, room, now)
	return room
}

// fleetRoom returns the room that a layered service's engines in all data centres have
// for new requests, by which requests are admitted: a path crosses data centres, or lies in
// another one, where engines here lack room.
func (f *Forwarder) fleetRoom(members *members) forecaster.Room {
	key, now := roomKey{service: members.service.Name}, f.cfg.Now()
	if room, ok := f.rooms.get(key, now); ok {
		return room
	}
	room := forecaster.Forecast(f.roomInput(members, roomOptions{avoidSuspects: true, others: true, full: true}))
	if room.Capacity == 0 {
		room = forecaster.Forecast(f.roomInput(members, roomOptions{others: true, full: true}))
	}
	f.rooms.put(key, room, now)
	return room
}

// meanCapacity returns the tokens that a data centre's engines have memory for at a mean
// layer.
func (m *members) meanCapacity(centre string) float64 {
	sum := 0.0
	for _, h := range m.holders {
		if h.entry.Centre == centre && h.entry.Version == m.versions[0] {
			sum += float64(h.tokenCapacity) * float64(h.entry.Last-h.entry.First)
		}
	}
	return sum / float64(m.service.Engine.Layers)
}

// roomOptions selects what counts in a forecast.
type roomOptions struct {
	// centre is the data centre whose engines count; empty if all do.
	centre        string
	avoidSuspects bool
	// others lets the load count that nodes of other data centres put on the engines, and
	// full that engines are known as full.
	others bool
	full   bool
}

// roomInput returns the input of a forecast from what this node knows.
func (f *Forwarder) roomInput(members *members, opts roomOptions) forecaster.Input {
	correction := f.rooms.correction(members.service.Name)
	factor := correction.Factor()
	in := forecaster.Input{Layers: members.service.Engine.Layers, Centre: opts.centre, Correction: factor}
	now := f.cfg.Now()
	loads := make(map[string]float64)
	for _, centre := range members.centres() {
		if opts.others && (opts.centre == "" || opts.centre == centre) {
			loads[centre] = f.loadOfOthers(members, centre)
		}
	}
	for _, h := range members.holders {
		if (opts.centre != "" && h.entry.Centre != opts.centre) || h.entry.Version != members.versions[0] {
			continue
		}
		rec := f.assessor.Record(h.entry.ID)
		if opts.avoidSuspects && now.Before(rec.SuspectUntil) {
			continue
		}
		used := f.tokensInUse(h.entry.ID, rec.Tokens)
		engine := forecaster.Holder{
			ID: h.entry.ID, Centre: opts.centre, First: h.entry.First, Last: h.entry.Last, Capacity: h.tokenCapacity,
			// The load of others is corrected already.
			Used: used + int(loads[h.entry.Centre]*float64(h.tokenCapacity)/factor),
			Full: opts.full && now.Before(rec.FullUntil),
		}
		if h.entry.First == 0 {
			engine.Slots = int(slotHeadroom * float64(members.service.Engine.Slots))
			engine.FirstRequests = f.slotsInUse(h.entry.ID) + int(loads[h.entry.Centre]*float64(engine.Slots))
		}
		in.Holders = append(in.Holders, engine)
	}
	return in
}

// tokensInUse returns how many tokens the nodes of this data centre have in progress at
// an engine. Unlike usedTokens it doesn't assume that each other node has added as many
// since its report as this one: among a hundred nodes, each stream that begins here would
// count as a hundred. The trend of all nodes together is used instead, and the mean of
// those that report for those that don't.
func (f *Forwarder) tokensInUse(id string, own int) int {
	others, reporting := f.cfg.OtherTokens(id)
	if f.cfg.RemoteLoadsKnown() || reporting == 0 {
		return f.usedTokens(id, own)
	}
	nodes := max(f.cfg.CentreNodes()-1, reporting)
	return own + int(float64(others)*f.cfg.LoadGrowth()*float64(nodes)/float64(reporting))
}

// loadOfOthers returns the load that nodes of other data centres put on the engines of
// a data centre, as far as it is known. Without a report from another data centre its
// engines are assumed to be as loaded as those here.
func (f *Forwarder) loadOfOthers(members *members, centre string) float64 {
	if f.cfg.RemoteLoadsKnown() {
		return 0
	}
	load, known := f.cfg.CentreLoad(centre, members.service.Name)
	if centre != f.cfg.Centre && !known {
		return max(load, f.assumedRemoteLoad(members))
	}
	return load
}

// recordTokens corrects the estimates of a service by a request that came to its end.
func (f *Forwarder) recordTokens(c *call, events int) {
	if c.members.layered() && c.LastEventID == "" && events > 0 {
		f.rooms.correct(c.service, c.PromptTokens+events*c.members.service.Engine.TokensPerEvent, c.neededTokens)
	}
}

// CentreLoads returns the load that the nodes of this data centre put on the engines of
// each service and data centre.
func (f *Forwarder) CentreLoads() []forecaster.CentreLoad {
	cfg := f.cfg.View().Configuration
	if cfg == nil {
		return nil
	}
	var loads []forecaster.CentreLoad
	for name, members := range f.index(cfg).services {
		if !members.layered() || len(members.versions) == 0 {
			continue
		}
		for _, centre := range members.centres() {
			// Whether this node has doubts about engines elsewhere says nothing about the use
			// that is made of them.
			own := centre == f.cfg.Centre
			room := forecaster.Forecast(f.roomInput(members, roomOptions{centre: centre, avoidSuspects: own}))
			// Each layer has the same tokens in use, so that the load of the one with the
			// fewest engines would count too much at all others.
			load := float64(room.Used) / max(members.meanCapacity(centre), 1)
			if own || (room.Capacity > 0 && load >= minReportedLoad) {
				loads = append(loads, forecaster.CentreLoad{Centre: centre, Service: name, Load: load})
			}
		}
	}
	return loads
}

// centres returns the data centres of the holders.
func (m *members) centres() []string {
	var centres []string
	seen := make(map[string]bool)
	for _, h := range m.holders {
		if !seen[h.entry.Centre] {
			seen[h.entry.Centre] = true
			centres = append(centres, h.entry.Centre)
		}
	}
	return centres
}

// chooseCentre returns the data centre whose engines a request is to use: this node's,
// unless its load is above the level up to which the request is admitted and that of
// another one is known to be lower by minCentreGain. Among several the choice is random
// by their lower load, so that the nodes don't all choose the same.
func (f *Forwarder) chooseCentre(members *members, level float64) string {
	own := f.room(members, f.cfg.Centre).Load
	if own <= level {
		return f.cfg.Centre
	}
	chosen, total := f.cfg.Centre, 0.0
	for _, centre := range members.centres() {
		if centre == f.cfg.Centre || !f.loadKnown(members, centre) {
			continue
		}
		load := f.room(members, centre).Load
		if gain := own - load; gain >= minCentreGain {
			total += gain
			if rand.Float64()*total < gain {
				chosen = centre
			}
		}
	}
	return chosen
}

// loadKnown reports whether the load of a service's engines in another data centre is
// known.
func (f *Forwarder) loadKnown(members *members, centre string) bool {
	if f.cfg.RemoteLoadsKnown() {
		return true
	}
	_, known := f.cfg.CentreLoad(centre, members.service.Name)
	return known
}

// wholePathCentre returns the data centre whose engines alone the path of a request is
// to use; empty if any may be used.
func (f *Forwarder) wholePathCentre(c *call, members *members) string {
	if c.begun() || c.level <= 0 {
		return ""
	}
	if centre := f.chooseCentre(members, c.level); centre != f.cfg.Centre {
		return centre
	}
	return ""
}
