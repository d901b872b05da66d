package bencher

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/provider"
	"banyanquay/internal/standin/generator"
)

// Joining shows how an added endpoint came to be asked for steps. Its peer is an
// endpoint that holds the same layers at the same speed.
type Joining struct {
	// FirstStep is the time from the change of the list to the first step, in
	// milliseconds; negative means that there was none.
	FirstStep float64 `json:"first_step_ms"`
	// FairAfter is the time from the change, in milliseconds, to the first half
	// second in which it was asked for at least fairStepRatio of its peer's steps;
	// negative means never.
	FairAfter float64 `json:"part_after_ms"`
	// StepRatio is the number of its steps over its peer's in the second half of
	// the time.
	StepRatio float64 `json:"part_of_peer"`
}

// fairStepRatio is the min ratio of an endpoint's steps to its peer's that counts
// as fair.
const fairStepRatio = 0.8

// comparisonInterval is the length of the intervals in which steps are compared.
const comparisonInterval = 500 * time.Millisecond

// addEndpoint puts an endpoint on the platform's list. When the load has ended,
// the endpoint is told to leave, since removal from the list alone would not stop
// the nodes from using it while it is alive.
func (b *Bencher) addEndpoint() changePlan {
	affectsNone := func(context.Context) (func(o outcome) bool, error) {
		return func(outcome) bool { return false }, nil
	}
	return changePlan{
		faultPlan: faultPlan{
			kind:    kindAdded,
			affects: affectsNone,
			cause: b.setVM(provider.VM{
				Address: b.cfg.Added.Address,
				Role:    provider.RoleEndpoint,
				Centre:  b.cfg.AddedCentre,
			}),
		},
		engine:  b.cfg.Added.Address,
		adds:    true,
		windows: 1,
		undo:    b.setSwitchesAt(b.cfg.Added.Address, generator.Switches{Leave: true}),
	}
}

// setVM adds or replaces an entry of the platform's list.
func (b *Bencher) setVM(vm provider.VM) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		body, err := encoder.JSON(vm)
		if err != nil {
			return err
		}
		url := "http://" + b.cfg.Platform + "/vms/" + vm.Address
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
		if err != nil {
			return trace.Wrap(err)
		}
		resp, err := b.control.Do(req)
		if err != nil {
			return trace.Wrap(err, "changing the platform's list")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return trace.BadParameter("changing the platform's list: %s", resp.Status)
		}
		return nil
	}
}

// measureJoining compares the steps of an added endpoint with its peer's.
func measureJoining(added, peer []stepRequest, from, to time.Duration) *Joining {
	j := &Joining{FirstStep: -1, FairAfter: -1}
	for _, a := range added {
		if a.at >= from {
			j.FirstStep = float64(a.at-from) / float64(time.Millisecond)
			break
		}
	}
	for at := from; at+comparisonInterval <= to; at += comparisonInterval {
		mine, other := countBetween(added, at, at+comparisonInterval), countBetween(peer, at, at+comparisonInterval)
		if mine > 0 && float64(mine) >= fairStepRatio*float64(other) {
			j.FairAfter = float64(at-from) / float64(time.Millisecond)
			break
		}
	}
	half := from + (to-from)/2
	j.StepRatio = ratio(float64(countBetween(added, half, to)), float64(countBetween(peer, half, to)))
	return j
}

// countBetween counts the steps asked for in [from, to).
func countBetween(asks []stepRequest, from, to time.Duration) int {
	n := 0
	for _, a := range asks {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}
