package simulator

import (
	"context"
	"sync"
	"time"
)

// Simulate runs a pattern under a policy. It has to run in fake time, in a bubble
// where nothing else runs. The same seed gives the same streams and troubles, but not
// the same random choices of the product between equal options.
func Simulate(setup Setup) Result {
	p, seed := setup.Pattern, setup.Seed
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var background, streams sync.WaitGroup
	f := newFleet(setup)
	f.run(ctx, &background)
	time.Sleep(seconds(p.LeadSeconds))
	begun := time.Now()
	for _, t := range p.Troubles {
		background.Go(func() { f.applyTrouble(ctx, t) })
	}
	c := &callers{fleet: f}
	for i, centre := range p.Centres {
		streams.Go(func() { c.startStreams(ctx, &streams, centre, seed+uint64(i)<<32) })
	}
	streams.Wait()
	cancel()
	background.Wait()
	// Lets requests at engines and pending timers finish.
	time.Sleep(time.Minute)
	return summarise(setup, begun, c.answers)
}
