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

// cause causes the faults at their times and returns when all are over.
func (r *run) cause(ctx context.Context, faults []scheduler.Fault) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		if !grouper.Sleep(ctx, f.At-time.Since(began)) {
			break
		}
		wg.Go(func() { r.do(ctx, f) })
	}
	wg.Wait()
	grouper.Sleep(ctx, r.cfg.Time-time.Since(began))
	r.heal()
}

// heal ends what overlapping faults may have left.
func (r *run) heal() {
	for _, p := range append(append([]*proxier.Proxy{}, r.stores...), r.fronts...) {
		p.Set(proxier.Pass, 0)
	}
	r.site.Store.Set(imitator.Switches{})
	for _, n := range r.nodes {
		n.Signal(syscall.SIGCONT)
		_ = n.Start()
	}
}

// modes are what the faults of links do to connections.
var modes = map[scheduler.Kind]proxier.Mode{
	scheduler.StoreDelay: proxier.Delay, scheduler.StoreReset: proxier.Reset, scheduler.StoreDeaf: proxier.Deaf,
	scheduler.StoreMute: proxier.Mute, scheduler.StoreSilent: proxier.Silent,
	scheduler.EndpointDelay: proxier.Delay, scheduler.EndpointReset: proxier.Reset, scheduler.EndpointDeaf: proxier.Deaf,
	scheduler.EndpointMute: proxier.Mute, scheduler.EndpointSilent: proxier.Silent,
}

// do causes one fault and ends it.
func (r *run) do(ctx context.Context, f scheduler.Fault) {
	switch f.Kind {
	case scheduler.Kill, scheduler.KillAll, scheduler.Pause, scheduler.Term, scheduler.Hup:
		r.signal(ctx, f)
	case scheduler.StoreDown, scheduler.StoreLose:
		r.switches(f.Kind, 1)
		grouper.Sleep(ctx, f.For)
		r.switches(f.Kind, -1)
	case scheduler.StoreCompact:
		r.site.Compact()
	case scheduler.Revoke:
		r.site.Configure(imitator.Key)
		r.auditor.Taken(lent, time.Now())
		grouper.Sleep(ctx, f.For)
		r.auditor.Given(lent, time.Now())
		r.site.Configure(imitator.Key, lent)
	case scheduler.Leave:
		r.site.Leave(f.Target)
		grouper.Sleep(ctx, f.For)
		r.site.Return(f.Target)
	default:
		p := r.stores[f.Target%len(r.stores)]
		if f.Kind >= scheduler.EndpointDelay {
			p = r.fronts[f.Target]
		}
		p.Set(modes[f.Kind], f.Delay)
		grouper.Sleep(ctx, f.For)
		p.Set(proxier.Pass, 0)
	}
}

// signal harms a node's process, or all.
func (r *run) signal(ctx context.Context, f scheduler.Fault) {
	n := r.nodes[f.Target%len(r.nodes)]
	switch f.Kind {
	case scheduler.Kill:
		n.Signal(syscall.SIGKILL)
	case scheduler.KillAll:
		for _, each := range r.nodes {
			each.Signal(syscall.SIGKILL)
		}
	case scheduler.Pause:
		n.Signal(syscall.SIGSTOP)
		grouper.Sleep(ctx, f.For)
		n.Signal(syscall.SIGCONT)
		return
	case scheduler.Hup:
		n.Signal(syscall.SIGHUP)
		return
	case scheduler.Term:
		n.Signal(syscall.SIGTERM)
		if !n.Await(stopTime) {
			n.Signal(syscall.SIGKILL)
		}
	}
	grouper.Sleep(ctx, f.For)
	for _, each := range r.nodes {
		if f.Kind == scheduler.KillAll || each == n {
			each.Await(time.Second)
			_ = each.Start()
		}
	}
}

// switches changes the store's switches as long as a fault wants them.
func (r *run) switches(kind scheduler.Kind, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[kind] += by
	r.site.Store.Set(imitator.Switches{Down: r.down[scheduler.StoreDown] > 0, Lose: r.down[scheduler.StoreLose] > 0})
}
