// Package grouper runs groups of steps that start and stop together.
package grouper

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
)

// Step is the unit of supervision: a named function that runs until its context ends
// or it fails.
type Step struct {
	// Name is unique within its group and appears in logs and errors.
	Name string
	// Run returns nil once ctx has ended, and an error if it can't continue.
	Run func(ctx context.Context) error
}

// Group combines steps into one. When the first of them returns, the others are
// stopped; the group returns once all have returned.
func Group(name string, steps ...Step) Step {
	return Step{
		Name: name,
		Run: func(ctx context.Context) error {
			return runAll(ctx, name, steps)
		},
	}
}

// runAll runs the steps with a shared context and waits for all of them.
func runAll(ctx context.Context, name string, steps []Step) error {
	var g run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) {
		cancel()
	})
	for _, step := range steps {
		g.Add(func() error {
			return runOne(ctx, step)
		}, func(error) {
			cancel()
		})
	}
	return trace.Wrap(g.Run(), "running group %s", name)
}

// runOne runs a step and adds its name to its error. An error that only says that ctx
// was cancelled is dropped.
func runOne(ctx context.Context, step Step) error {
	err := step.Run(ctx)
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return nil
	}
	return trace.Wrap(err, "running %s", step.Name)
}

// Sleep waits for d or until ctx ends, and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timer.Done()
	return ctx.Err() == nil
}
