package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// knockTimeout is how long an engine may take to accept a connection: some
	// fifteen times the round trip between data centres.
	knockTimeout = 20 * time.Millisecond
	// knockFresh is how long a result is used again.
	knockFresh = 100 * time.Millisecond
)

// knock is the last try to connect to an endpoint.
type knock struct {
	// done is closed when the result is there.
	done  chan struct{}
	began time.Time
	err   error
}

// prober connects to endpoints to learn whether they are there. It is safe for
// concurrent use.
type prober struct {
	knock func(ctx context.Context, address string) error
	now   func() time.Time

	mu     sync.Mutex
	knocks map[string]*knock
}

func newProber(f func(ctx context.Context, address string) error, now func() time.Time) *prober {
	return &prober{knock: f, now: now, knocks: make(map[string]*knock)}
}

// silent returns those of the addresses that accept no connection.
func (p *prober) silent(addresses []string) []string {
	tries := make([]*knock, 0, len(addresses))
	for _, address := range addresses {
		tries = append(tries, p.begin(address))
	}
	var silent []string
	for i, k := range tries {
		<-k.done
		if k.err != nil {
			silent = append(silent, addresses[i])
		}
	}
	return silent
}

// begin returns a recent try, or a new one.
func (p *prober) begin(address string) *knock {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if k := p.knocks[address]; k != nil && now.Sub(k.began) < knockFresh {
		return k
	}
	k := &knock{done: make(chan struct{}), began: now}
	p.knocks[address] = k
	go func() {
		defer close(k.done)
		ctx, cancel := context.WithTimeout(context.Background(), knockTimeout)
		defer cancel()
		k.err = p.knock(ctx, address)
	}()
	return k
}

// keep forgets the tries of addresses that are gone.
func (p *prober) keep(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.knocks, func(address string, _ *knock) bool { return !known[address] })
}
