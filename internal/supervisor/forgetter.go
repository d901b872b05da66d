package supervisor

import (
	"context"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/grouper"
	"banyanquay/internal/supervisor/dispatcher/limiter"
	"banyanquay/internal/supervisor/dispatcher/retrier"
	"banyanquay/internal/supervisor/dispatcher/runner"
	"banyanquay/internal/supervisor/watcher"
)

// forgetInterval is the time between two checks for endpoints that have gone.
const forgetInterval = 10 * time.Second

// forgetter drops the state that other parts keep of endpoints that have gone, so
// that the state doesn't grow with every address that was ever used.
type forgetter struct {
	endpoints func() []driver.Endpoint
	// forget holds the functions that are called once with each address that has
	// gone.
	forget []func(address string)
}

func newForgetter(w *watcher.Watcher, l *limiter.Limiter, t *retrier.Retrier, r *runner.Runner) forgetter {
	return forgetter{
		endpoints: func() []driver.Endpoint { return w.Endpoints().All() },
		forget:    []func(string){l.Forget, t.Forget, r.Forget},
	}
}

// step checks for endpoints that have gone until its context ends.
func (f forgetter) step() grouper.Step {
	return grouper.Step{Name: "forgetter", Run: func(ctx context.Context) error {
		tick := time.NewTicker(forgetInterval)
		defer tick.Stop()
		var previous []driver.Endpoint
		for {
			current := f.endpoints()
			for _, address := range removedAddresses(previous, current) {
				for _, forget := range f.forget {
					forget(address)
				}
			}
			previous = current
			select {
			case <-tick.C:
			case <-ctx.Done():
				return nil
			}
		}
	}}
}

// removedAddresses returns the addresses of previous that current no longer has.
func removedAddresses(previous, current []driver.Endpoint) []string {
	present := make(map[string]bool, len(current))
	for _, e := range current {
		present[e.Address] = true
	}
	var addresses []string
	for _, e := range previous {
		if !present[e.Address] {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}
