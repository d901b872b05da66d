// Package teller tells the other nodes what this node knows of endpoints: the
// work that it has in progress there, and those that it found silent.
package teller

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/supervisor/forwarder/budgeter"
	"banyanquay/internal/supervisor/linker"
)

const (
	// interval is the time between two tellings of loads over one link.
	interval = 300 * time.Millisecond
	// stale is the age at which another node's loads no longer count.
	stale = 1500 * time.Millisecond
	// unit is the unit in which tokens in progress are told.
	unit = 64
	// mostLoads bounds the loads of one telling.
	mostLoads = 512
	// mostSlow bounds the slow engines of one telling.
	mostSlow = 64
)

// Load is the work that one node has in progress at an endpoint.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// ID is the short name of the endpoint.
	ID uint32
	// Units is the tokens in progress.
	Units uint16
}

// message is what one node tells another.
type message struct {
	// Loads are those above zero; all of the sender's.
	Loads []Load `cbor:"1,keyasint,omitempty"`
	// Told is set if the fields below Silent are meant, also if they are empty, and
	// Loaded if Loads is.
	Told   bool `cbor:"2,keyasint,omitempty"`
	Loaded bool `cbor:"6,keyasint,omitempty"`
	// Silent are endpoints that accept no connection of the sender.
	Silent []string `cbor:"3,keyasint,omitempty"`
	// Slow are engines that are slower than usual.
	Slow []Slow `cbor:"4,keyasint,omitempty"`
	// Spent is what the sender has sent to services of late.
	Spent []Spent `cbor:"5,keyasint,omitempty"`
}

// Spent is what one node has sent to a service in the last window.
type Spent struct {
	_ struct{} `cbor:",toarray"`
	// ID is the short name of the service.
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

// Config is what a teller needs.
type Config struct {
	Links *linker.Linker
	// Loads returns this node's tokens in progress by endpoint, and Few tells
	// whether the nodes are few enough for each to hear of most. In a larger fleet
	// loads are not told over links: a sample of them would make nodes that hear the
	// same avoid, and choose, the same engines. They are pooled by data centre.
	Loads func() map[string]int
	Few   func() bool
	// Spent returns what this node has sent to services of late.
	Spent func() map[string]budgeter.Spent
	// Paces returns how many times slower than usual slow engines are, by ID, as
	// this node has asked them, and Paced is told what other nodes say.
	Paces func() map[string]float64
	Paced func(endpoint string, pace float64)
	// Suspect is told of an endpoint that another node found silent. It must
	// not block.
	Suspect func(endpoint string)
	Now     func() time.Time
}

// peer is what was told over one link.
type peer struct {
	address string
	// loads is nil if the peer doesn't tell them.
	loads map[uint32]int
	spent map[uint32]budgeter.Spent
	heard time.Time
	// told is when the loads were last told to it, and silent what waits to
	// be told.
	told   time.Time
	silent []string
}

// Teller tells and hears. It is safe for concurrent use.
type Teller struct {
	cfg Config

	mu    sync.Mutex
	peers map[string]*peer
	// own is what was last reported, reports those of other nodes, and pool what the
	// reader last answered, without this node.
	own     report
	reports map[string]reported
	pool    *sums
}

// New returns a teller and registers it at the links.
func New(cfg Config) *Teller {
	t := &Teller{cfg: cfg, peers: make(map[string]*peer), reports: make(map[string]reported)}
	cfg.Links.Register(linker.Engines, linker.Topic{
		LinkUp:   t.linkUp,
		LinkDown: t.linkDown,
		Flush:    t.flush,
		Receive:  t.receive,
	})
	return t
}

// Step tells the loads at each interval until its context ends.
func (t *Teller) Step() grouper.Step {
	return grouper.Step{Name: "teller", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, interval) {
			t.cfg.Links.Kick()
		}
		return nil
	}}
}

// short is the short name of an endpoint.
func short(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// Others returns the tokens that other nodes have in progress at an endpoint,
// and how many nodes have told of their loads of late: all that have told, or those
// of the data centre.
func (t *Teller) Others(id string) (tokens, nodes int) {
	key := short(id)
	if !t.cfg.Few() {
		sum := t.pooled()
		return sum.loads[key] * unit, sum.nodes
	}
	t.each(func(p *peer) {
		if p.loads != nil {
			tokens += p.loads[key] * unit
			nodes++
		}
	})
	return tokens, nodes
}

// OthersSpent returns what other nodes have sent to a service of late, and how
// many nodes have told so.
func (t *Teller) OthersSpent(service string) (spent budgeter.Spent, nodes int) {
	key := short(service)
	if !t.cfg.Few() {
		sum := t.pooled()
		return sum.spent[key], sum.nodes
	}
	nodes = t.each(func(p *peer) {
		spent.Requests += p.spent[key].Requests
		spent.Repeats += p.spent[key].Repeats
	})
	return spent, nodes
}

// each calls use with each node that has told of its state of late, and returns
// how many those are. There may be two links with a node.
func (t *Teller) each(use func(p *peer)) int {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make([]string, 0, len(t.peers))
	for _, p := range t.peers {
		if now.Sub(p.heard) > stale || slices.Contains(seen, p.address) {
			continue
		}
		seen = append(seen, p.address)
		use(p)
	}
	return len(seen)
}

// Silent tells the others of an endpoint that this node found silent.
func (t *Teller) Silent(id string) {
	t.mu.Lock()
	for _, p := range t.peers {
		if !slices.Contains(p.silent, id) {
			p.silent = append(p.silent, id)
		}
	}
	t.mu.Unlock()
	t.cfg.Links.Kick()
}

func (t *Teller) linkUp(link linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[link.ID] = &peer{address: link.Address}
}

func (t *Teller) linkDown(link linker.Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, link.ID)
}

// flush returns what a peer has to be told.
func (t *Teller) flush(link linker.Link) []byte {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[link.ID]
	if p == nil {
		return nil
	}
	var m message
	m.Silent, p.silent = p.silent, nil
	if now.Sub(p.told) >= interval {
		p.told = now
		m.Told, m.Slow, m.Spent = true, t.slow(), t.spent()
		if m.Loaded = t.cfg.Few(); m.Loaded {
			m.Loads = t.loads()
		}
	}
	if !m.Told && len(m.Silent) == 0 {
		return nil
	}
	body, err := encoder.CBOR(m)
	if err != nil {
		return nil // numbers and strings always encode
	}
	return body
}

// loads returns this node's loads as they are told.
func (t *Teller) loads() []Load {
	var loads []Load
	for id, tokens := range t.cfg.Loads() {
		if units := min((tokens+unit-1)/unit, 1<<16-1); units > 0 && len(loads) < mostLoads {
			loads = append(loads, Load{ID: short(id), Units: uint16(units)})
		}
	}
	return loads
}

// spent returns what this node has sent to services as it is told.
func (t *Teller) spent() []Spent {
	var all []Spent
	for service, s := range t.cfg.Spent() {
		all = append(all, Spent{ID: short(service), Requests: uint32(s.Requests), Repeats: uint32(s.Repeats)})
	}
	return all
}

// slow returns the slow engines as they are told.
func (t *Teller) slow() []Slow {
	var slow []Slow
	for id, pace := range t.cfg.Paces() {
		if len(slow) < mostSlow {
			slow = append(slow, Slow{ID: id, Pace: float32(pace)})
		}
	}
	return slow
}

// receive takes what a peer told.
func (t *Teller) receive(link linker.Link, body []byte) {
	m, err := encoder.FromCBOR[message](body)
	if err != nil {
		return // a peer of another build; its loads count as unknown
	}
	now := t.cfg.Now()
	t.mu.Lock()
	if p := t.peers[link.ID]; p != nil && m.Told {
		p.heard, p.loads = now, nil
		if m.Loaded {
			p.loads = make(map[uint32]int, len(m.Loads))
		}
		for _, l := range m.Loads {
			p.loads[l.ID] += int(l.Units)
		}
		p.spent = make(map[uint32]budgeter.Spent, len(m.Spent))
		for _, s := range m.Spent {
			p.spent[s.ID] = budgeter.Spent{Requests: int(s.Requests), Repeats: int(s.Repeats)}
		}
	}
	t.mu.Unlock()
	for _, id := range m.Silent {
		t.cfg.Suspect(id)
	}
	for _, s := range m.Slow {
		t.cfg.Paced(s.ID, float64(s.Pace))
	}
}
