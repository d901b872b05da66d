package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
)

func TestEveryStageIsCancelledWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet([]fault{none, none, none, none, dies})
		r := f.runner(4)
		var mu sync.Mutex
		cancelled := make(map[string]bool)
		r.cfg.Engine.Cancel = func(_ context.Context, address string, c driver.Cancel) error {
			mu.Lock()
			defer mu.Unlock()
			cancelled[address] = c.Request == "r"
			return nil
		}
		stepped := make(map[string]bool)
		step := r.cfg.Engine.Step
		r.cfg.Engine.Step = func(ctx context.Context, address string, s driver.Step) (driver.StepResult, error) {
			stepped[address] = true
			return step(ctx, address, s)
		}
		ctx, leave := context.WithCancel(t.Context())
		err := r.Run(ctx, job(50, nil), func(position int, _ string) error {
			if position == 3 {
				leave()
			}
			return nil
		})
		if err == nil {
			t.Error("got a complete answer, want an error because the caller left")
		}
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if got, want := slices.Sorted(maps.Keys(cancelled)), slices.Sorted(maps.Keys(stepped)); !slices.Equal(got, want) {
			t.Errorf("got cancels at %v, want at %v", got, want)
		}
	})
}
