package soaker

import (
	"context"
	"sync"
	"syscall"
	"time"

	"banyanquay/internal/grouper"
	"banyanquay/internal/soaker/proxier"
	"banyanquay/internal/soaker/scheduler"
	"banyanquay/platform/imitator"
)

// injectFaults injects the faults at their times and returns when all are over.
func (r *run) injectFaults(ctx context.Context, faults []scheduler.Fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		if !grouper.Sleep(ctx, f.At-time.Since(start)) {
			break
		}
		wg.Go(func() { r.inject(ctx, f) })
	}
	wg.Wait()
	grouper.Sleep(ctx, r.cfg.Time-time.Since(start))
	r.clearFaults()
}

// clearFaults ends what overlapping faults may have left.
func (r *run) clearFaults() {
	for _, p := range append(append([]*proxier.Proxy{}, r.storeProxies...), r.endpointProxies...) {
		p.Set(proxier.Pass, 0)
	}
	r.site.Store.Set(imitator.Switches{})
	for _, n := range r.nodes {
		n.Signal(syscall.SIGCONT)
		_ = n.Start()
	}
}

// proxyModes maps the faults of links to the modes of proxies.
var proxyModes = map[scheduler.Kind]proxier.Mode{
	scheduler.StoreDelay: proxier.Delay, scheduler.StoreReset: proxier.Reset, scheduler.StoreDropTo: proxier.DropToTarget,
	scheduler.StoreDropFrom: proxier.DropFromTarget, scheduler.StoreDropBoth: proxier.DropBoth,
	scheduler.EndpointDelay: proxier.Delay, scheduler.EndpointReset: proxier.Reset, scheduler.EndpointDropTo: proxier.DropToTarget,
	scheduler.EndpointDropFrom: proxier.DropFromTarget, scheduler.EndpointDropBoth: proxier.DropBoth,
}

// inject injects one fault and ends it.
func (r *run) inject(ctx context.Context, f scheduler.Fault) {
	switch f.Kind {
	case scheduler.Kill, scheduler.KillAll, scheduler.Pause, scheduler.Term, scheduler.Hup:
		r.injectSignal(ctx, f)
	case scheduler.StoreDown, scheduler.StoreLoseAnswers:
		r.updateSwitches(f.Kind, 1)
		grouper.Sleep(ctx, f.Duration)
		r.updateSwitches(f.Kind, -1)
	case scheduler.StoreCompact:
		r.site.Compact()
	case scheduler.Silence:
		r.injectSilence(ctx, f)
	case scheduler.Endless:
		r.injectEndless(ctx, f)
	case scheduler.SlowBodies:
		r.injectSlowBodies(ctx, f)
	case scheduler.Broken:
		r.injectBroken(ctx, f)
	case scheduler.Revoke, scheduler.Leave, scheduler.StoreRestore, scheduler.Limit, scheduler.Change:
		r.injectSite(ctx, f)
	default:
		p := r.storeProxies[f.Target%len(r.storeProxies)]
		if f.Kind >= scheduler.EndpointDelay {
			p = r.endpointProxies[f.Target]
		}
		if f.Kind != scheduler.StoreDelay && f.Kind != scheduler.EndpointDelay {
			defer r.auditor.Disturb(p.Address())()
		}
		p.Set(proxyModes[f.Kind], f.Delay)
		grouper.Sleep(ctx, f.Duration)
		p.Set(proxier.Pass, 0)
	}
}

// injectSite injects a fault of the site itself.
func (r *run) injectSite(ctx context.Context, f scheduler.Fault) {
	switch f.Kind {
	case scheduler.Revoke:
		r.site.Configure(imitator.Key)
		r.auditor.KeyRevoked(revocableKey, time.Now())
		grouper.Sleep(ctx, f.Duration)
		r.auditor.KeyRestored(revocableKey, time.Now())
		r.site.Configure(imitator.Key, revocableKey)
	case scheduler.Leave:
		r.site.Leave(f.Target)
		grouper.Sleep(ctx, f.Duration)
		defer r.auditor.Disturb(r.endpointProxies[f.Target].Address())()
		r.site.Restart(f.Target)
	case scheduler.StoreRestore:
		r.restoreStore(ctx, f.Duration)
	case scheduler.Limit:
		address := r.endpointProxies[f.Target].Address()
		r.site.Limit(endpointLimit, address)
		grouper.Sleep(ctx, f.Duration)
		r.site.Limit(0, address)
	case scheduler.Change:
		r.site.Change(changes[f.Target])
	}
}

// changes are the changes of the configuration that are drawn. All timeouts are longer
// than callers wait, and idle limits than the pauses of callers between requests.
var changes = [scheduler.Changes]imitator.Change{imitator.ChangeRoutes, imitator.ChangeTimeout, imitator.ChangeIdle}

// injectSilence makes a share of the endpoints silent, at least one. They lose nothing
// and go on.
func (r *run) injectSilence(ctx context.Context, f scheduler.Fault) {
	silent := r.shareOf(f)
	for _, p := range silent {
		defer r.auditor.Silence(p.Address())()
		p.Hold()
	}
	grouper.Sleep(ctx, f.Duration)
	for _, p := range silent {
		p.Release()
	}
}

// shareOf returns the proxies of the share of the endpoints that a fault affects, at least
// one.
func (r *run) shareOf(f scheduler.Fault) []*proxier.Proxy {
	var affected []*proxier.Proxy
	for i := range max(int(f.Share*float64(len(r.endpointProxies))), 1) {
		affected = append(affected, r.endpointProxies[(f.Target+i)%len(r.endpointProxies)])
	}
	return affected
}

// endpointLimit is the number of requests a second that an endpoint in need takes.
const endpointLimit = 5

// restoreStore brings the store back from a copy that is as old as the fault is long. The
// operator writes the configuration again, as endpoints do with their entries. Copies don't
// overlap, so that none is older than a fault.
func (r *run) restoreStore(ctx context.Context, age time.Duration) {
	r.restoring.Lock()
	defer r.restoring.Unlock()
	r.site.Store.Backup()
	grouper.Sleep(ctx, age)
	r.site.RestoreStore()
}

// injectSignal sends a fault's signal to one node's process, or to all, and restarts
// those that end.
func (r *run) injectSignal(ctx context.Context, f scheduler.Fault) {
	n, frontend := r.nodes[f.Target%len(r.nodes)], r.nodeAddress(f.Target%len(r.nodes), 1)
	switch f.Kind {
	case scheduler.Kill:
		defer r.auditor.Disturb(frontend)()
		n.Signal(syscall.SIGKILL)
	case scheduler.KillAll:
		for i, each := range r.nodes {
			defer r.auditor.Disturb(r.nodeAddress(i, 1))()
			each.Signal(syscall.SIGKILL)
		}
	case scheduler.Pause:
		defer r.auditor.Disturb(frontend)()
		n.Signal(syscall.SIGSTOP)
		grouper.Sleep(ctx, f.Duration)
		n.Signal(syscall.SIGCONT)
		return
	case scheduler.Hup:
		n.Signal(syscall.SIGHUP)
		return
	case scheduler.Term:
		gone := r.auditor.Stop(frontend)
		n.Signal(syscall.SIGTERM)
		ended := n.Await(grace)
		if !ended {
			n.Kill()
		}
		gone(!ended)
	}
	grouper.Sleep(ctx, f.Duration)
	for _, each := range r.nodes {
		if f.Kind == scheduler.KillAll || each == n {
			each.Await(time.Second)
			_ = each.Start()
		}
	}
}

// updateSwitches changes the number of active faults of a kind and sets the store's
// switches accordingly.
func (r *run) updateSwitches(kind scheduler.Kind, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaults[kind] += delta
	r.site.Store.Set(imitator.Switches{Down: r.storeFaults[scheduler.StoreDown] > 0, LoseAnswers: r.storeFaults[scheduler.StoreLoseAnswers] > 0})
}
