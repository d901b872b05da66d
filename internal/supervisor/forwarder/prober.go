package forwarder

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"
)

const (
	// knockTimeout is how long an engine may take to accept a connection: some
	// twenty times the round trip between data centres.
	knockTimeout = 25 * time.Millisecond
	// knockAgain is when a second connection is tried beside the first: the
	// first packet may have been lost.
	knockAgain = 8 * time.Millisecond
	// knockFresh is how long a result is used again.
	knockFresh = 100 * time.Millisecond
	// endedFresh is the same of a refusal: an endpoint that starts again has layers
	// to load first.
	endedFresh = 500 * time.Millisecond
	// knockLate is by how much a knock may end later than its timeout; more means
	// that this node did not run, so that its result says nothing.
	knockLate = 15 * time.Millisecond
)

// answer is what came of a try to connect.
type answer int

const (
	// accepts is an endpoint that is there.
	accepts answer = iota
	// refuses is one whose machine says that it is not.
	refuses
	// silent is one of which nothing was heard.
	silent
	// unclear is a try that this node did not run in time.
	unclear
)

// knock is the last try to connect to an endpoint.
type knock struct {
	// done is closed when the result is there.
	done   chan struct{}
	began  time.Time
	answer answer
}

// refused tells whether the try has ended with a refusal.
func (k *knock) refused() bool {
	select {
	case <-k.done:
		return k.answer == refuses
	default:
		return false
	}
}

// prober connects to endpoints to learn whether they are there. It is safe for
// concurrent use.
type prober struct {
	knock func(ctx context.Context, address string) error
	now   func() time.Time

	// late tells whether this process did not run for a while since a moment.
	late func(since time.Time) bool

	mu     sync.Mutex
	knocks map[string]*knock
}

func newProber(
	f func(ctx context.Context, address string) error, now func() time.Time, late func(since time.Time) bool,
) *prober {
	return &prober{knock: f, now: now, late: late, knocks: make(map[string]*knock)}
}

// gone returns those of the addresses at which no endpoint is. Silence is
// believed only where more machines answer than are silent, those included that
// others have just heard of: otherwise it is more likely this node that is cut
// off or slow.
func (p *prober) gone(addresses []string, heard int) []string {
	tries := make([]*knock, 0, len(addresses))
	for _, address := range addresses {
		tries = append(tries, p.begin(address))
	}
	counts := make(map[answer]int)
	for _, k := range tries {
		<-k.done
		counts[k.answer]++
	}
	believed := counts[unclear] == 0 &&
		(len(addresses)+heard == 1 || counts[silent] < counts[accepts]+counts[refuses]+heard)
	var gone []string
	for i, k := range tries {
		if k.answer == refuses || (k.answer == silent && believed) {
			gone = append(gone, addresses[i])
		}
	}
	return gone
}

// knownEnded returns those of the addresses that refused a connection a moment
// ago.
func (p *prober) knownEnded(addresses []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ended []string
	for _, address := range addresses {
		if k := p.knocks[address]; k != nil && k.refused() && p.now().Sub(k.began) < endedFresh {
			ended = append(ended, address)
		}
	}
	return ended
}

// ended tells whether an address refuses connections, which proves that the
// endpoint there has ended. Silence does not: it may be the way to it.
func (p *prober) ended(address string) bool {
	k := p.begin(address)
	<-k.done
	return k.answer == refuses
}

// begin returns a recent try, or a new one.
func (p *prober) begin(address string) *knock {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if k := p.knocks[address]; k != nil {
		age := now.Sub(k.began)
		if age < knockFresh || (age < endedFresh && k.refused()) {
			return k
		}
	}
	k := &knock{done: make(chan struct{}), began: now}
	p.knocks[address] = k
	go func() {
		defer close(k.done)
		k.answer = p.try(address, now)
	}()
	return k
}

// try connects once, and once more beside that if there is no answer soon.
func (p *prober) try(address string, began time.Time) answer {
	ctx, cancel := context.WithTimeout(context.Background(), knockTimeout)
	defer cancel()
	results := make(chan error, 2)
	connect := func() { results <- p.knock(ctx, address) }
	go connect()
	again := time.AfterFunc(knockAgain, connect)
	defer again.Stop()
	err := <-results
	switch {
	case err == nil:
		return accepts
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return refuses
	case p.now().Sub(began) > knockTimeout+knockLate, p.late(began):
		return unclear
	default:
		return silent
	}
}

// keep forgets the tries of addresses that are gone.
func (p *prober) keep(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.knocks, func(address string, _ *knock) bool { return !known[address] })
}
