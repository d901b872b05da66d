package emulator

import (
	"context"
	"time"

	"banyanquay/internal/driver"
)

// place lets an engine hold other layers, after the time of their load.
func (e *Emulator) place(ctx context.Context, address, _ string, p driver.Placement) error {
	n, err := e.at(ctx, address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.Fence < n.fence {
		return &driver.Refused{Reason: driver.ReasonFence}
	}
	if p.Orders != n.orders || n.loading != nil {
		return &driver.Refused{Reason: driver.ReasonState}
	}
	n.fence, n.orders = p.Fence, n.orders+1
	if e.cfg.Load == 0 {
		n.First, n.Last = p.First, p.Last
		return nil
	}
	n.First, n.Last, n.loading = 0, 0, &p
	e.loads++
	slower := max(1, float64(e.loads)/float64(max(e.cfg.LoadsAtOnce, 1)))
	took := time.Duration(float64(e.cfg.Load) * slower * float64(p.Last-p.First) / float64(e.cfg.Layers))
	time.AfterFunc(took, func() { e.loaded(n, &p) })
	return nil
}

// loaded ends a load, unless the engine has ended meanwhile.
func (e *Emulator) loaded(n *engine, p *driver.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads--
	if n.loading == p {
		n.First, n.Last, n.loading = p.First, p.Last, nil
	}
}
