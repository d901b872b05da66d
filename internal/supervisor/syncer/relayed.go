package syncer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

// The store may turn some nodes away while it serves the others. What a node can't read itself it reads by way of another
// node, so that nodes that have their data from it get the store's, and an outage of the store is told from one of this node.

const (
	// relayPatience is how long a read may take beyond its wait before another node is asked as well: longer than those of
	// a store that answers slowly.
	relayPatience = 400 * time.Millisecond
	// relayTimeout bounds a read by way of another node, of which the call to the store has relayedCallTimeout.
	relayTimeout       = 400 * time.Millisecond
	relayedCallTimeout = 300 * time.Millisecond
	// relayRetryDelay is the time between two tries that fail, and relayPeriod the time after which no other node is asked
	// any more if none can read the store.
	relayRetryDelay = 300 * time.Millisecond
	relayPeriod     = 500 * time.Millisecond
	// maxRelaysAsked is the number of nodes that are asked at once while none is known that can read the store.
	maxRelaysAsked = 2
)

// readRequest asks another node to read a topic of the store from an offset on. It is encoded as a map, unlike query, so that
// nodes of earlier builds take it for neither.
type readRequest struct {
	Topic string          `cbor:"1,keyasint"`
	From  provider.Offset `cbor:"2,keyasint"`
}

// readAnswer is what the store answered.
type readAnswer struct {
	Items []provider.Item `cbor:"1,keyasint,omitempty"`
	End   provider.Offset `cbor:"2,keyasint,omitempty"`
	More  bool            `cbor:"3,keyasint,omitempty"`
	// Compacted and Restored are set if the records are no longer retained, or the store came back from an older copy.
	Compacted bool `cbor:"4,keyasint,omitempty"`
	Restored  bool `cbor:"5,keyasint,omitempty"`
}

// relay chooses the nodes by way of which this one reads the store. It is safe for concurrent use.
type relay struct {
	mu sync.Mutex
	// address is the node by way of which this one last read the store; empty if it reads the store itself.
	address string
	// failedSince is when the first try of the present run failed, and triedAt when the last one began; zero if none has.
	failedSince time.Time
	triedAt     time.Time
}

// try is how a read by way of another node is tried.
type try struct {
	// due is set if it is tried now, and again if the last one failed.
	due   bool
	again bool
	// address is the node by way of which the last one succeeded; empty if it isn't known.
	address string
}

// next returns how a read is tried now.
func (r *relay) next(now time.Time) try {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := !r.failedSince.IsZero()
	if r.address != "" {
		return try{due: true, address: r.address}
	}
	if now.Sub(r.triedAt) < relayRetryDelay || again && now.Sub(r.failedSince) >= relayPeriod {
		return try{}
	}
	r.triedAt = now
	return try{due: true, again: again}
}

// failed notes that no node that was asked could read the store.
func (r *relay) failed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = ""
	if r.failedSince.IsZero() {
		r.failedSince = now
	}
}

// succeeded notes the node by way of which the store was read, empty if this node read it itself. It reports whether that is
// another one than before.
func (r *relay) succeeded(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.address != address
	r.address, r.failedSince = address, time.Time{}
	return changed
}

// readResult is the result of a read, which was sent at a time.
type readResult struct {
	items  provider.Items
	sentAt time.Time
	err    error
	// relayed is set if another node made the call. It didn't wait for records.
	relayed bool
}

// isAnswer reports whether the store answered.
func (r readResult) isAnswer() bool {
	return r.err == nil || errors.Is(r.err, provider.ErrCompacted) || errors.Is(r.err, provider.ErrRestored)
}

// readFrom reads the records of a topic from an offset on: itself, or by way of another node if its own call fails or takes long.
func (s *Syncer) readFrom(ctx context.Context, f feed, from provider.Offset) readResult {
	ownCtx, cancel := context.WithCancel(ctx)
	own := make(chan readResult, 1)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	calls.Go(func() {
		sentAt := s.cfg.Now()
		items, err := s.cfg.Topics.Follow(ownCtx, f.topic, from, f.wait)
		own <- readResult{items: items, sentAt: sentAt, err: err}
	})
	patience := time.NewTimer(f.wait + relayPatience)
	defer patience.Stop()
	var first readResult
	answered := false
	select {
	case first = <-own:
		answered = true
	case <-patience.C:
	}
	if answered && first.isAnswer() {
		s.relay.succeeded("")
		return first
	}
	if ctx.Err() == nil && !s.cfg.Starting() {
		if relayed := s.readByWay(ctx, f, from); relayed.isAnswer() {
			return relayed
		}
	}
	if !answered {
		first = <-own
	}
	return first
}

// readByWay reads a topic by way of another node.
func (s *Syncer) readByWay(ctx context.Context, f feed, from provider.Offset) readResult {
	sentAt := s.cfg.Now()
	next := s.relay.next(sentAt)
	if !next.due {
		return readResult{err: trace.ConnectionProblem(nil, "no other node is asked now")}
	}
	asked := []string{next.address}
	if next.address == "" {
		asked = s.relays(next.again)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	results := make(chan readResult, len(asked))
	for _, address := range asked {
		go func() {
			items, err := s.askToRead(ctx, address, readRequest{Topic: f.topic, From: from})
			r := readResult{items: items, sentAt: sentAt, err: err, relayed: true}
			if r.isAnswer() && s.relay.succeeded(address) {
				s.cfg.Recorder.Info(recorder.StoreRelayed, zap.String("what", f.name), zap.String("node", address))
			}
			results <- r
		}()
	}
	last := readResult{err: trace.ConnectionProblem(nil, "no other node is known")}
	for range asked {
		if last = <-results; last.isAnswer() {
			s.cfg.Counters.Config.Add("reads_relayed", 1)
			return last
		}
	}
	s.cfg.Counters.Config.Add("reads_not_relayed", 1)
	s.relay.failed(s.cfg.Now())
	return last
}

// relays returns the nodes that are asked to read the store: first those of this data centre that replace its reader, then
// any others than readers, which call it themselves, if there are any.
func (s *Syncer) relays(again bool) []string {
	isOther := func(address string) bool { return address != s.cfg.Address }
	readers := s.cfg.Readers()
	var asked []string
	add := func(all []string, allowed func(address string) bool) {
		for _, address := range all {
			if len(asked) < maxRelaysAsked && isOther(address) && allowed(address) && !slices.Contains(asked, address) {
				asked = append(asked, address)
			}
		}
	}
	isNoReader := func(address string) bool { return !slices.Contains(readers, address) }
	peers := s.cfg.Peers()
	if !again {
		add(s.cfg.Standbys(), isNoReader)
	}
	add(peers, isNoReader)
	add(peers, isOther)
	return asked
}

// askToRead asks another node to read a topic.
func (s *Syncer) askToRead(ctx context.Context, address string, r readRequest) (provider.Items, error) {
	body, err := encoder.CBOR(r)
	if err != nil {
		return provider.Items{}, err
	}
	data, err := s.cfg.Query(ctx, address, body)
	if err != nil {
		return provider.Items{}, err
	}
	ans, err := encoder.FromCBOR[readAnswer](data)
	switch {
	case err != nil:
		return provider.Items{}, err
	case ans.Compacted:
		return provider.Items{}, provider.ErrCompacted
	case ans.Restored:
		return provider.Items{}, provider.ErrRestored
	}
	return provider.Items{Items: ans.Items, End: ans.End, More: ans.More}, nil
}

// handleRead reads a topic for another node. A node whose own reads fail doesn't try.
func (s *Syncer) handleRead(r readRequest) ([]byte, error) {
	if r.Topic != s.cfg.ConfigTopic && r.Topic != s.cfg.EndpointTopic {
		return nil, trace.BadParameter("topic %q is not read for others", r.Topic)
	}
	if s.failing.Load() || s.failingEndpoints.Load() {
		return nil, trace.ConnectionProblem(nil, "this node's own reads fail")
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayedCallTimeout)
	defer cancel()
	s.cfg.Counters.Config.Add("reads_for_others", 1)
	items, err := s.cfg.Topics.Follow(ctx, r.Topic, r.From, 0)
	ans := readAnswer{
		Items: items.Items, End: items.End, More: items.More,
		Compacted: errors.Is(err, provider.ErrCompacted), Restored: errors.Is(err, provider.ErrRestored),
	}
	if err != nil && !ans.Compacted && !ans.Restored {
		return nil, err
	}
	return encoder.CBOR(ans)
}
