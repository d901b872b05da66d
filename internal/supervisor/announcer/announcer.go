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
	// eraCheckInterval is the time between two checks of the store's era, and maxCopyAge the
	// age above which an announcement is in any copy from which the store comes back:
	// these are some seconds old.
	eraCheckInterval = time.Second
	maxCopyAge       = 2 * time.Minute
	// maxListAge is how long a list is served from the cache. A cached list lacks
	// nodes that start later, but those find this node in their own lists.
	maxListAge = time.Minute
	// maxEarlyListAge is how long a list is served from the cache while this node's
	// announcement is under way. All nodes start together, so such a list is short.
	maxEarlyListAge = 2 * time.Second
	// enoughNodes is the number of nodes known over links from which any list is served
	// for maxListAge: the others become known over links, too.
	enoughNodes = 16
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
	Seeds []string
	// Known returns how many nodes are known over links.
	Known    func() int
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

	// reading serialises the reads of the list.
	reading sync.Mutex

	mu     sync.Mutex
	cached []provider.VM
	readAt time.Time
	reads  int
	// listed is set if the last list had this node's own announcement, and announced
	// once the store has accepted it.
	listed    bool
	announced bool
}

// New returns an announcer.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg}
}

// Step publishes the announcement if the store doesn't have it from an earlier start,
// retrying until the store has answered.
func (a *Announcer) Step() grouper.Step {
	return grouper.Step{Name: "announcer", Run: a.run}
}

func (a *Announcer) run(ctx context.Context) error {
	data, err := encoder.CBOR(announcement{Centre: a.cfg.Centre})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		_, err := a.read(ctx)
		if err == nil && !a.isListed() {
			err = a.announce(ctx, data)
		}
		if err == nil {
			break
		}
		a.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "announcement"), zap.Error(err))
		grouper.Sleep(ctx, retryInterval)
	}
	a.keepAnnounced(ctx, data)
	return nil
}

// keepAnnounced publishes the announcement again, until ctx ends, if the store comes back
// from an older copy that may lack it.
func (a *Announcer) keepAnnounced(ctx context.Context, data []byte) {
	era := a.cfg.Topics.CurrentEra()
	began := a.cfg.Now()
	for grouper.Sleep(ctx, eraCheckInterval) {
		current := a.cfg.Topics.CurrentEra()
		if current == era || a.cfg.Now().Sub(began) > maxCopyAge {
			era = current
			continue
		}
		if err := a.announce(ctx, data); err != nil {
			a.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "announcement"), zap.Error(err))
			continue
		}
		a.cfg.Recorder.Info(recorder.StoreRestored, zap.String("what", "announcement written again"),
			zap.Uint64("era", current), zap.Uint64("before", era))
		era, began = current, a.cfg.Now()
	}
}

// announce publishes the announcement.
func (a *Announcer) announce(ctx context.Context, data []byte) error {
	if _, err := a.cfg.Topics.Append(ctx, a.cfg.Topic, a.cfg.Address, data); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.announced = true
	return nil
}

// List returns the list of the announced nodes and the seeds.
func (a *Announcer) List() provider.List {
	return provider.List{VMs: a.list}
}

// list returns the cached list if it is recent enough, else a new one. Until a list
// has been read it consists of the seeds.
func (a *Announcer) list(ctx context.Context) ([]provider.VM, error) {
	vms, err := a.read(ctx)
	if err == nil {
		return vms, nil
	}
	a.mu.Lock()
	reads := a.reads
	a.mu.Unlock()
	if reads == 0 && len(a.cfg.Seeds) > 0 {
		a.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "nodes"), zap.Error(err))
		return a.withSeeds(nil), nil
	}
	return nil, err
}

// current returns the cached list, and whether it is recent enough. The lists of a
// fleet that starts for the first time are short until this node is listed itself.
func (a *Announcer) current() ([]provider.VM, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maxAge := maxListAge
	switch {
	case a.listed || a.cfg.Known() >= enoughNodes:
	case a.announced:
		maxAge = 0
	default:
		maxAge = maxEarlyListAge
	}
	return a.cached, a.reads > 0 && a.cfg.Now().Sub(a.readAt) < maxAge
}

// isListed reports whether the last list had this node's announcement.
func (a *Announcer) isListed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listed
}

// read returns the list, from the store if the cached one is too old.
func (a *Announcer) read(ctx context.Context) ([]provider.VM, error) {
	a.reading.Lock()
	defer a.reading.Unlock()
	if vms, ok := a.current(); ok {
		return vms, nil
	}
	items, err := a.cfg.Topics.Newest(ctx, a.cfg.Topic)
	if err != nil {
		return nil, err
	}
	listed := false
	vms := make([]provider.VM, 0, len(items.Items))
	for _, it := range items.Items {
		n, err := encoder.FromCBOR[announcement](it.Value)
		if err != nil {
			a.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", it.Key), zap.Error(err))
			continue
		}
		vms = append(vms, provider.VM{Address: it.Key, Role: provider.RoleNode, Centre: n.Centre})
		listed = listed || it.Key == a.cfg.Address && n.Centre == a.cfg.Centre
	}
	vms = a.withSeeds(vms)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cached, a.readAt, a.reads, a.listed = vms, a.cfg.Now(), a.reads+1, listed
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
