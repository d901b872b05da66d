// Package announcer makes a node known to the others through the platform's
// store, and lists those that have done so.
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
	// retryInterval is the time between two tries to announce the node.
	retryInterval = 700 * time.Millisecond
	// freshTime is how long a list is used again: nodes that come later find this
	// one. All nodes start together, so the first list is short and soon out of
	// date.
	freshTime = time.Minute
	youngTime = 2 * time.Second
	// young is how many reads are made at the shorter interval.
	young = 1
)

// Config says who this node is.
type Config struct {
	Topics provider.Topics
	// Topic holds one record of each node, by its address.
	Topic string
	// Address is the host:port of the node's links.
	Address string
	Centre  string
	// Seeds are addresses that were given to the node. They may be out of date,
	// and are all that it knows while the store is away.
	Seeds    []string
	Now      func() time.Time
	Recorder *recorder.Recorder
}

// note is what a node says of itself.
type note struct {
	_      struct{} `cbor:",toarray"`
	Centre string
}

// Announcer announces one node.
type Announcer struct {
	cfg Config

	mu    sync.Mutex
	known []provider.VM
	read  time.Time
	reads int
}

// New returns an announcer.
func New(cfg Config) *Announcer {
	return &Announcer{cfg: cfg}
}

// Step announces the node once.
func (a *Announcer) Step() grouper.Step {
	return grouper.Step{Name: "announcer", Run: a.run}
}

func (a *Announcer) run(ctx context.Context) error {
	data, err := encoder.CBOR(note{Centre: a.cfg.Centre})
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

// List returns the nodes that have announced themselves.
func (a *Announcer) List() provider.List {
	return provider.List{VMs: a.list}
}

func (a *Announcer) list(ctx context.Context) ([]provider.VM, error) {
	a.mu.Lock()
	known, age, reads := a.known, a.cfg.Now().Sub(a.read), a.reads
	a.mu.Unlock()
	if reads > 0 && age < youngTime || reads > young && age < freshTime {
		return known, nil
	}
	items, err := a.cfg.Topics.Newest(ctx, a.cfg.Topic)
	if err != nil && reads == 0 && len(a.cfg.Seeds) > 0 {
		a.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "nodes"), zap.Error(err))
		return a.seeds(nil), nil
	}
	if err != nil {
		return nil, err
	}
	vms := make([]provider.VM, 0, len(items.Items))
	for _, it := range items.Items {
		n, err := encoder.FromCBOR[note](it.Value)
		if err != nil {
			a.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("node", it.Key), zap.Error(err))
			continue
		}
		vms = append(vms, provider.VM{Address: it.Key, Role: provider.RoleNode, Centre: n.Centre})
	}
	vms = a.seeds(vms)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known, a.read, a.reads = vms, a.cfg.Now(), a.reads+1
	return vms, nil
}

// seeds adds the seeds that a list lacks; their data centres are learnt from them.
func (a *Announcer) seeds(vms []provider.VM) []provider.VM {
	for _, seed := range a.cfg.Seeds {
		if !slices.ContainsFunc(vms, func(vm provider.VM) bool { return vm.Address == seed }) {
			vms = append(vms, provider.VM{Address: seed, Role: provider.RoleNode})
		}
	}
	return vms
}
