// Package broadcaster sends the other nodes what this node knows of endpoints: the work
// that it has in progress there, those that are slow, and those that it found
// unreachable.
package broadcaster

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/forwarder/forecaster"
	"banyanquay/internal/supervisor/linker"
)

const (
	// sendInterval is the time between two messages with this node's state over one
	// link.
	sendInterval = 300 * time.Millisecond
	// maxStateAge is the age above which another node's state no longer counts.
	maxStateAge = 1500 * time.Millisecond
	// tokensPerUnit is the unit in which tokens in progress are sent.
	tokensPerUnit = 64
	// maxLoads bounds the loads of one message.
	maxLoads = 512
	// maxSlow bounds the slow engines of one message.
	maxSlow = 64
)

// Load is the work that one node has in progress at an endpoint.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// ID is the hash of the endpoint's ID.
	ID uint32
	// Units is the tokens in progress in units of tokensPerUnit, rounded up.
	Units uint16
}

// message is what one node sends another.
type message struct {
	// Loads are all of the sender's loads above zero.
	Loads []Load `cbor:"1,keyasint,omitempty"`
	// HasState is set if the fields below Unreachable are valid even when empty, and
	// HasLoads if Loads is.
	HasState bool `cbor:"2,keyasint,omitempty"`
	HasLoads bool `cbor:"6,keyasint,omitempty"`
	// Unreachable are endpoints that accept no connection from the sender.
	Unreachable []string `cbor:"3,keyasint,omitempty"`
	// Slow are engines that are slower than usual.
	Slow []Slow `cbor:"4,keyasint,omitempty"`
	// Spent is what the sender has sent to services in the last window.
	Spent []Spent `cbor:"5,keyasint,omitempty"`
	// Leaving are endpoints that said to the sender, or to a node that told it, that they
	// leave.
	Leaving []Leaving `cbor:"7,keyasint,omitempty"`
	// Era is the store's era as far as the sender knows.
	Era uint64 `cbor:"8,keyasint,omitempty"`
	// Summaries are loads of data centres. Older builds ignore them.
	Summaries []Summary `cbor:"9,keyasint,omitempty"`
}

// Leaving is one start of an endpoint that leaves.
type Leaving struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

// Spent is what one node has sent to a service in the last window.
type Spent struct {
	_ struct{} `cbor:",toarray"`
	// ID is the hash of the service's name.
	ID       uint32
	Requests uint32
	Repeats  uint32
}

// Slow is an engine that is slower than usual.
type Slow struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Pace is how many times slower it is.
	Pace float32
}

// Config configures a Broadcaster.
type Config struct {
	Links *linker.Linker
	// Loads returns this node's tokens in progress by endpoint, and SmallFleet reports
	// whether the fleet is small enough for each node to hear from most others. In a
	// larger fleet loads are not sent over links: all nodes that receive the same
	// sample of loads would avoid, and choose, the same engines. They are aggregated
	// by data centre instead.
	Loads      func() map[string]int
	SmallFleet func() bool
	// Centre is this node's data centre, and CentreOf returns that of another node.
	Centre   string
	CentreOf func(address string) string
	// CentreLoads returns the load that the nodes of this data centre put on the engines of
	// each service and data centre; nil means none.
	CentreLoads func() []forecaster.CentreLoad
	// Spent returns what this node has sent to services in the last window.
	Spent func() map[string]budgeter.Usage
	// Era returns the store's era as far as this node knows, and HandleEra takes what
	// another node knows.
	Era       func() uint64
	HandleEra func(era uint64)
	// Paces returns how many times slower than usual slow engines are, by ID, as
	// this node has measured, and HandlePace takes what other nodes report.
	Paces      func() map[string]float64
	HandlePace func(endpoint string, pace float64)
	// HandleUnreachable takes an endpoint that another node found unreachable. It
	// must not block.
	HandleUnreachable func(endpoint string)
	// HandleLeaving takes a start of an endpoint that leaves, as another node says, and
	// reports whether this node did not know that; it is then relayed. It must not block.
	HandleLeaving func(endpoint string, born int64) bool
	Now           func() time.Time
}

// peer is the state received over one link, and what is to be sent over it.
type peer struct {
	address string
	// dialled is set if this node opened the link.
	dialled bool
	// loads is nil if the peer doesn't send its loads.
	loads        map[uint32]int
	spent        map[uint32]budgeter.Usage
	lastReceived time.Time
	// lastSent is when this node's state was last sent to the peer, and unreachable and
	// leaving hold the endpoints that are still to be reported to it.
	lastSent time.Time
	// summarised is when summaries were last sent to the peer.
	summarised  time.Time
	unreachable []string
	leaving     []Leaving
}

// setState replaces the peer's state by that of a message.
func (p *peer) setState(m message, now time.Time) {
	p.lastReceived, p.loads = now, nil
	if m.HasLoads {
		p.loads = make(map[uint32]int, len(m.Loads))
		for _, l := range m.Loads {
			p.loads[l.ID] += int(l.Units)
		}
	}
	p.spent = make(map[uint32]budgeter.Usage, len(m.Spent))
	for _, s := range m.Spent {
		p.spent[s.ID] = budgeter.Usage{Requests: int(s.Requests), Retries: int(s.Repeats)}
	}
}

// Broadcaster exchanges the state of endpoints with other nodes. It is safe for
// concurrent use.
type Broadcaster struct {
	cfg Config

	// mu is not held while a function of cfg other than Now is called.
	mu    sync.Mutex
	peers map[string]*peer
	// ownReport is this node's last report, reports holds those of other nodes by
	// address, and aggregate is what the reader last answered, less this node.
	ownReport report
	reports   map[string]receivedReport
	aggregate *aggregate
	// trend is that of the aggregates.
	trend trend
	// summaries are those of this node and those that it received. summarised is when it
	// last made its own.
	summaries  summaries
	summarised time.Time
}

// New returns a Broadcaster and registers it with the links.
func New(cfg Config) *Broadcaster {
	if cfg.CentreLoads == nil {
		cfg.CentreLoads = func() []forecaster.CentreLoad { return nil }
	}
	if cfg.CentreOf == nil {
		cfg.CentreOf = func(string) string { return cfg.Centre }
	}
	t := &Broadcaster{cfg: cfg, peers: make(map[string]*peer), reports: make(map[string]receivedReport), summaries: make(summaries)}
	cfg.Links.Register(linker.Engines, linker.Topic{
		LinkUp:   t.linkUp,
		LinkDown: t.linkDown,
		Flush:    t.flush,
		Receive:  t.receive,
	})
	return t
}

// Step schedules a flush of the links at each sendInterval until its context ends.
func (t *Broadcaster) Step() grouper.Step {
	return grouper.Step{Name: "teller", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, sendInterval) {
			t.summarise()
			t.cfg.Links.ScheduleFlush()
		}
		return nil
	}}
}

// shortID returns the hash that stands for the ID of an endpoint or the name of a
// service in messages.
func shortID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// PeerLoad returns the tokens that other nodes have in progress at an endpoint, and
// the number of nodes with recent loads: all that have sent them, or those of the
// data centre in a large fleet.
func (t *Broadcaster) PeerLoad(id string) (tokens, nodes int) {
	key := shortID(id)
	if !t.cfg.SmallFleet() {
		sum := t.currentAggregate()
		return sum.loads[key] * tokensPerUnit, sum.nodes
	}
	t.eachPeer(func(p *peer) {
		if p.loads != nil {
			tokens += p.loads[key] * tokensPerUnit
			nodes++
		}
	})
	return tokens, nodes
}

// PeerSpent returns what other nodes have sent to a service in the last window, and
// the number of nodes that have reported it.
func (t *Broadcaster) PeerSpent(service string) (spent budgeter.Usage, nodes int) {
	key := shortID(service)
	if !t.cfg.SmallFleet() {
		sum := t.currentAggregate()
		return sum.spent[key], sum.nodes
	}
	nodes = t.eachPeer(func(p *peer) {
		spent.Requests += p.spent[key].Requests
		spent.Retries += p.spent[key].Retries
	})
	return spent, nodes
}

// eachPeer calls visit for each node with recent state and returns their number.
// There may be two links with a node.
func (t *Broadcaster) eachPeer(visit func(p *peer)) int {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		if now.Sub(p.lastReceived) > maxStateAge || slices.Contains(seen, p.address) {
			continue
		}
		seen = append(seen, p.address)
		visit(p)
	}
	return len(seen)
}

// BroadcastUnreachable reports to the other nodes an endpoint that this node found
// unreachable.
func (t *Broadcaster) BroadcastUnreachable(id string) {
	t.mu.Lock()
	for _, p := range t.peers {
		if !slices.Contains(p.unreachable, id) {
			p.unreachable = append(p.unreachable, id)
		}
	}
	t.mu.Unlock()
	t.cfg.Links.ScheduleFlush()
}

// BroadcastLeaving reports to the other nodes a start of an endpoint that leaves.
func (t *Broadcaster) BroadcastLeaving(id string, born int64) {
	t.mu.Lock()
	for _, p := range t.peers {
		if len(p.leaving) < maxLoads {
			p.leaving = append(p.leaving, Leaving{ID: id, Born: born})
		}
	}
	t.mu.Unlock()
	t.cfg.Links.ScheduleFlush()
}

func (t *Broadcaster) linkUp(link linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[link.ID] = &peer{address: link.Address, dialled: link.Dialled}
}

func (t *Broadcaster) linkDown(link linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, link.ID)
}

// flush returns the message for a peer, or nil if there is none. It calls the functions
// of the configuration without the lock: they take locks under which others may call the
// Broadcaster.
func (t *Broadcaster) flush(link linker.Link) []byte {
	now := t.cfg.Now()
	var m message
	var near bool
	if t.isStateDue(link, now) {
		m.HasState, m.Slow, m.Spent, m.Era = true, t.slow(), t.spent(), t.cfg.Era()
		if m.HasLoads = t.cfg.SmallFleet(); m.HasLoads {
			m.Loads = t.loads()
		}
		near = t.cfg.CentreOf(link.Address) == t.cfg.Centre
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[link.ID]
	if p == nil {
		return nil
	}
	m.Unreachable, p.unreachable = p.unreachable, nil
	m.Leaving, p.leaving = p.leaving, nil
	if m.HasState {
		p.lastSent = now
		if !m.HasLoads {
			m.Summaries = t.peerSummaries(p, near, now)
		}
	}
	if !m.HasState && len(m.Unreachable)+len(m.Leaving) == 0 {
		return nil
	}
	body, err := encoder.CBOR(m)
	if err != nil {
		return nil // numbers and strings always encode
	}
	return body
}

// isStateDue reports whether this node's state is to be sent over a link.
func (t *Broadcaster) isStateDue(link linker.Link, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[link.ID]
	return p != nil && now.Sub(p.lastSent) >= sendInterval
}

// loads returns this node's loads as they are sent.
func (t *Broadcaster) loads() []Load {
	var loads []Load
	for id, tokens := range t.cfg.Loads() {
		if units := min((tokens+tokensPerUnit-1)/tokensPerUnit, 1<<16-1); units > 0 && len(loads) < maxLoads {
			loads = append(loads, Load{ID: shortID(id), Units: uint16(units)})
		}
	}
	return loads
}

// spent returns what this node has sent to services in the form in which it is sent
// to peers.
func (t *Broadcaster) spent() []Spent {
	var all []Spent
	for service, s := range t.cfg.Spent() {
		all = append(all, Spent{ID: shortID(service), Requests: uint32(s.Requests), Repeats: uint32(s.Retries)})
	}
	return all
}

// slow returns the slow engines in the form in which they are sent to peers.
func (t *Broadcaster) slow() []Slow {
	var slow []Slow
	for id, pace := range t.cfg.Paces() {
		if len(slow) < maxSlow {
			slow = append(slow, Slow{ID: id, Pace: float32(pace)})
		}
	}
	return slow
}

// receiveState stores the state in a message from a peer, if it has any.
func (t *Broadcaster) receiveState(link linker.Link, m message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[link.ID]; p != nil && m.HasState {
		p.setState(m, t.cfg.Now())
		t.receiveSummaries(m.Summaries, t.cfg.Now())
	}
}

// receive handles a message from a peer.
func (t *Broadcaster) receive(link linker.Link, body []byte) {
	m, err := encoder.FromCBOR[message](body)
	if err != nil {
		return // from a peer of another build; its loads count as unknown
	}
	t.receiveState(link, m)
	for _, id := range m.Unreachable {
		t.cfg.HandleUnreachable(id)
	}
	t.cfg.HandleEra(m.Era)
	for _, l := range m.Leaving {
		if t.cfg.HandleLeaving(l.ID, l.Born) {
			t.BroadcastLeaving(l.ID, l.Born)
		}
	}
	for _, s := range m.Slow {
		t.cfg.HandlePace(s.ID, float64(s.Pace))
	}
}
