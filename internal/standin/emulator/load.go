package emulator

import (
	"context"
	"time"

	"banyanquay/internal/driver"
)

// place orders an engine to hold other layers. The engine drops its layers at once
// and holds the new ones after the load time.
func (e *Emulator) place(ctx context.Context, address, _ string, p driver.Placement) error {
	n, err := e.connect(ctx, address)
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
	if e.cfg.LoadTime == 0 {
		n.First, n.Last = p.First, p.Last
		return nil
	}
	n.First, n.Last, n.loading = 0, 0, &p
	e.loadsRunning++
	slower := max(1, float64(e.loadsRunning)/float64(max(e.cfg.MaxParallelLoads, 1)))
	took := time.Duration(float64(e.cfg.LoadTime) * slower * float64(p.Last-p.First) / float64(e.cfg.Layers))
	time.AfterFunc(took, func() { e.finishLoad(n, &p) })
	return nil
}

// finishLoad ends a load. An engine that was killed meanwhile does not get the
// layers.
func (e *Emulator) finishLoad(n *engine, p *driver.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadsRunning--
	if n.loading == p {
		n.First, n.Last, n.loading = p.First, p.Last, nil
	}
}
