package modeller

import (
	"context"
	"sync"
	"time"
)

// Play plays a pattern under a policy. It must run in fake time, where nothing else
// runs. The same seed gives the same streams and troubles; what the product draws by
// lot, its choices among equals, differs.
func Play(setup Setup) Result {
	p, seed := setup.Pattern, setup.Seed
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background, streams sync.WaitGroup
	w := newWorld(setup)
	w.run(ctx, &background)
	time.Sleep(seconds(p.LeadSeconds))
	begun := time.Now()
	for _, t := range p.Troubles {
		background.Go(func() { w.trouble(ctx, t) })
	}
	c := &callers{w: w}
	for i, centre := range p.Centres {
		streams.Go(func() { c.come(ctx, &streams, centre, seed+uint64(i)<<32) })
	}
	streams.Wait()
	cancel()
	background.Wait()
	// What is on its way at engines and timers ends.
	time.Sleep(time.Minute)
	return judge(setup, begun, c.answers)
}
