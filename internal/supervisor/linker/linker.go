// Package linker keeps the links between nodes: a few WebSockets that carry batches
// of CBOR, with heartbeats, and are dialled again when the peer becomes
// unresponsive.
package linker

import (
	"context"
	"crypto/subtle"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/gravitational/trace"

	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
)

// Path is the HTTP path at which nodes accept links.
const Path = "/v1/link"

// secretHeader carries the fleet's secret.
const secretHeader = "Banyanquay-Secret"

// maxLinks bounds the accepted links.
const maxLinks = 256

// TopicID identifies a topic; the numbers are the same at all nodes.
type TopicID uint8

// Topics.
const (
	Nodes TopicID = iota + 1
	Endpoints
	Engines
	Quarantine

	// lastTopic is the highest topic ID in use.
	lastTopic = Quarantine
)

// Subject selects the handler of a query; the numbers are the same at all nodes.
type Subject uint8

// Subjects.
const (
	Drains Subject = iota + 1
	Ledger
	Store
	Lead
	Permits
	Detours
)

// Linker holds the links of one node.
type Linker struct {
	cfg Config
	// topics, handlers and streams are set before the step runs.
	topics   map[TopicID]Topic
	handlers map[Subject]func(body []byte) ([]byte, error)
	streams  map[Subject]StreamHandler

	mu sync.Mutex
	// ctx is set while the step runs.
	ctx   context.Context
	links map[string]*session
	// diallers holds the cancel function of each dialler by address.
	diallers map[string]context.CancelFunc
	lastID   uint64
	// running counts sessions and diallers.
	running sync.WaitGroup
}

// New returns a linker without links.
func New(cfg Config) *Linker {
	if cfg.Recorder == nil {
		cfg.Recorder = recorder.Nop()
	}
	if cfg.Counters == nil {
		cfg.Counters = counter.New()
	}
	if cfg.Dial == nil {
		cfg.Dial = dialWebSocket(cfg.Secret, cfg.Memory)
	}
	return &Linker{
		cfg:      cfg,
		topics:   make(map[TopicID]Topic),
		handlers: make(map[Subject]func(body []byte) ([]byte, error)),
		streams:  make(map[Subject]StreamHandler),
		links:    make(map[string]*session),
		diallers: make(map[string]context.CancelFunc),
	}
}

// Register adds a topic; call it before the step runs.
func (l *Linker) Register(id TopicID, topic Topic) {
	l.topics[id] = topic
}

// Handle registers the handler for peers' queries on a subject; call it before the
// step runs.
func (l *Linker) Handle(subject Subject, handler func(body []byte) ([]byte, error)) {
	l.handlers[subject] = handler
}

// Step keeps the links until its context ends.
func (l *Linker) Step() grouper.Step {
	return grouper.Step{Name: "links", Run: l.run}
}

func (l *Linker) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	<-ctx.Done()
	l.mu.Lock()
	l.ctx = nil
	clear(l.diallers)
	l.mu.Unlock()
	l.running.Wait()
	return nil
}

// SetPeers sets the nodes to keep links to. It has no effect unless the step runs.
func (l *Linker) SetPeers(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return
	}
	for address, cancel := range l.diallers {
		if !slices.Contains(addresses, address) {
			cancel()
			delete(l.diallers, address)
		}
	}
	for _, address := range addresses {
		if _, ok := l.diallers[address]; ok || address == l.cfg.Address {
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		l.diallers[address] = cancel
		l.running.Go(func() { l.maintainLink(ctx, address) })
	}
}

// Links returns the links that are up.
func (l *Linker) Links() []Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]Link, 0, len(l.links))
	for _, s := range l.links {
		links = append(links, s.link)
	}
	return links
}

// ScheduleFlush flushes all links after flushDelay instead of with the next
// heartbeat.
func (l *Linker) ScheduleFlush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.links {
		s.scheduleFlush()
	}
}

// ScheduleLinkFlush flushes one link after flushDelay.
func (l *Linker) ScheduleLinkFlush(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.links[id]; ok {
		s.scheduleFlush()
	}
}

// Reset closes every link; diallers then open theirs again.
func (l *Linker) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.links {
		s.conn.Close()
	}
}

// linked reports whether a link with the address is up.
func (l *Linker) linked(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.links {
		if s.link.Address == address {
			return true
		}
	}
	return false
}

// context returns the running step's context, or nil.
func (l *Linker) context() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ctx
}

// enter counts the caller as running and returns the step's context, or nil
// if the step does not run.
func (l *Linker) enter() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx != nil {
		l.running.Add(1)
	}
	return l.ctx
}

// add registers a session, and closes those of the peer's other incarnations.
func (l *Linker) add(conn Conn, peer hello, dialled bool) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return nil, trace.ConnectionProblem(nil, "linker is not running")
	}
	if len(l.links) >= maxLinks {
		return nil, trace.LimitExceeded("too many links: %d are up", len(l.links))
	}
	for _, s := range l.links {
		if s.link.Address == peer.Address && s.link.Incarnation != peer.Incarnation {
			s.conn.Close()
		}
	}
	l.lastID++
	s := newSession(l, conn, Link{
		ID: strconv.FormatUint(l.lastID, 10), Address: peer.Address,
		Incarnation: peer.Incarnation, Dialled: dialled,
	})
	l.links[s.link.ID] = s
	return s, nil
}

// remove removes a session from the open links.
func (l *Linker) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, s.link.ID)
}

// Handler accepts links of other nodes.
func (l *Linker) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get(secretHeader))
		if subtle.ConstantTimeCompare(given, []byte(l.cfg.Secret)) != 1 {
			l.cfg.Counters.Fleet.Add("links_forbidden", 1)
			http.Error(w, "forbidden", http.StatusForbidden)
			return
		}
		if l.context() == nil {
			http.Error(w, "linker is not running", http.StatusServiceUnavailable)
			return
		}
		conn, err := upgrade(w, r, l.cfg.Memory)
		if err != nil {
			return
		}
		_ = l.Accept(conn)
	})
}
