// Package announcer publishes a node's address in the platform's store, and lists
// the nodes that have published theirs.
package announcer

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

const (
	// retryInterval is the time between two attempts to publish the announcement.
	retryInterval = 700 * time.Millisecond
	// maxListAge is how long a list is served from the cache. A cached list lacks
	// nodes that start later, but those find this node in their own lists.
	maxListAge = time.Minute
	// maxEarlyListAge is how long each of the first earlyReads lists is served from the
	// cache. All nodes start together, so the first list is short and soon out of date.
	maxEarlyListAge = 2 * time.Second
	// earlyReads is the number of lists that are cached for maxEarlyListAge only.
	earlyReads = 1
)

// Config identifies the node and holds what it needs to announce itself.
type Config struct {
	Topics provider.Topics
	// Topic holds one record for each node, keyed by its address.
	Topic string
	// Address is the host:port of the node's links.
	Address string
	Centre  string
	// Seeds are configured addresses of nodes. They may be out of date. Every list
	// includes them, and they are the only nodes known until the store has been
	// read once.
	Seeds    []string
	Now      func() time.Time
	Recorder *recorder.Recorder
}

// announcement is the record that a node publishes about itself.
type announcement struct {
	_      struct{} `cbor:",toarray"`
	Centre string
}

// Announcer publishes a node's announcement and caches the list of nodes.
type Announcer struct {
	cfg Config

	mu     sync.Mutex
	cached []provider.VM
	readAt time.Time
	reads  int
}

// New returns an announcer.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg}
}

// Step publishes the announcement, retrying until the store has accepted it once.
func (a *Announcer) Step() grouper.Step {
	return grouper.Step{Name: "announcer", Run: a.run}
}

func (a *Announcer) run(ctx context.Context) error {
	data, err := encoder.CBOR(announcement{Centre: a.cfg.Centre})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		_, err := a.cfg.Topics.Append(ctx, a.cfg.Topic, a.cfg.Address, data)
		if err == nil {
			break
		}
		a.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "announcement"), zap.Error(err))
		grouper.Sleep(ctx, retryInterval)
	}
	<-ctx.Done()
	return nil
}

// List returns the list of the announced nodes and the seeds.
func (a *Announcer) List() provider.List {
	return provider.List{VMs: a.list}
}

func (a *Announcer) list(ctx context.Context) ([]provider.VM, error) {
	a.mu.Lock()
	cached, age, reads := a.cached, a.cfg.Now().Sub(a.readAt), a.reads
	a.mu.Unlock()
	if reads > 0 && age < maxEarlyListAge || reads > earlyReads && age < maxListAge {
		return cached, nil
	}
	items, err := a.cfg.Topics.Newest(ctx, a.cfg.Topic)
	if err != nil && reads == 0 && len(a.cfg.Seeds) > 0 {
		a.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "nodes"), zap.Error(err))
		return a.withSeeds(nil), nil
	}
	if err != nil {
		return nil, err
	}
	vms := make([]provider.VM, 0, len(items.Items))
	for _, it := range items.Items {
		n, err := encoder.FromCBOR[announcement](it.Value)
		if err != nil {
			a.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", it.Key), zap.Error(err))
			continue
		}
		vms = append(vms, provider.VM{Address: it.Key, Role: provider.RoleNode, Centre: n.Centre})
	}
	vms = a.withSeeds(vms)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cached, a.readAt, a.reads = vms, a.cfg.Now(), a.reads+1
	return vms, nil
}

// withSeeds appends the seeds that a list lacks. Their data centre stays empty until
// they report it themselves.
func (a *Announcer) withSeeds(vms []provider.VM) []provider.VM {
	for _, seed := range a.cfg.Seeds {
		if !slices.ContainsFunc(vms, func(vm provider.VM) bool { return vm.Address == seed }) {
			vms = append(vms, provider.VM{Address: seed, Role: provider.RoleNode})
		}
	}
	return vms
}
