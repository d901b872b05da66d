// Package runner drives one request through a pipeline, token by token, and
// replaces the stages that fail on the way.
package runner

import (
	"context"
	"expvar"
	"time"

	"banyanquay/internal/bounder"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
)

// Config has the dependencies and settings of a runner. Its functions are safe
// for concurrent use.
type Config struct {
	Engine driver.Engine
	// Plan chooses a pipeline.
	Plan func(req planner.Request) (planner.Plan, error)
	// Replace chooses new stages for the range of a lost one.
	Replace func(req planner.Request, plan planner.Plan, lost int) (planner.Plan, error)
	// Begin records the start of a step at an endpoint, and returns a function
	// that records its end.
	Begin func(address string) (end func(took time.Duration, err error))
	// Observe records by how much a step of one position exceeded its reported
	// time.
	Observe func(address string, beyond time.Duration)
	// Failed reports that an endpoint failed a step, Leaving that it is
	// leaving.
	Failed  func(address string)
	Leaving func(address string)
	// Retry asks the retry budgets and returns the delay before the retry. Its
	// error is a refuser.Refusal.
	Retry func(t retrier.FailedAttempt) (time.Duration, error)
	// Succeeded credits the retry budgets for a job that ran to its end.
	Succeeded func(organisation string, addresses ...string)
	// StepTimeout is the maximum timeout of a decode step; at an endpoint that
	// is known to be faster the timeout is shorter. FillTimeout is the maximum
	// timeout of a step that runs a prompt or rebuilds a cache; a shorter one
	// follows from the times of such steps at the endpoint or, while there are
	// none, from the engine's own report.
	StepTimeout time.Duration
	FillTimeout time.Duration
	// Replacements is the maximum number of stages replaced in one request.
	Replacements int
	// Stages counts replaced stages by how their caches were rebuilt.
	Stages *expvar.Map
	// Budget is the memory for the outputs that a request keeps; an empty one means one of its own.
	Budget   bounder.Budget
	Recorder *recorder.Recorder
}

// Job is one request to run. It is an immutable value.
type Job struct {
	// Request is unique across the fleet.
	Request string
	// Route is the request to the planner.
	Route planner.Request
	// Prompt is the whole prompt.
	Prompt string
	// Tokens is how many tokens to generate.
	Tokens int
	// Resume holds the tokens that the caller already has; they are not emitted
	// again.
	Resume []string
	// Priority orders engines' queues.
	Priority int
}

// Emit passes a token to the caller. Positions are contiguous and each is
// passed once.
type Emit func(position int, token string) error

// Runner runs jobs.
type Runner struct {
	cfg              Config
	decodeLatencies  *perEndpoint[latencyEstimate]
	prefillEstimates *perEndpoint[prefillEstimate]
	// importSlots holds one entry for each cache that is being imported.
	importSlots chan struct{}
}

// New returns a runner.
func New(cfg Config) *Runner {
	if cfg.Stages == nil {
		cfg.Stages = new(expvar.Map).Init()
	}
	cfg.Budget = cfg.Budget.OrDefault()
	return &Runner{
		cfg:              cfg,
		decodeLatencies:  newPerEndpoint[latencyEstimate](),
		prefillEstimates: newPerEndpoint[prefillEstimate](),
		importSlots:      make(chan struct{}, maxImports),
	}
}

// Forget deletes the estimates for an endpoint that is gone.
func (r *Runner) Forget(address string) {
	r.decodeLatencies.remove(address)
	r.prefillEstimates.remove(address)
}

// Run generates the job's tokens. Its error is a refuser.Refusal, or what
// emit returned.
func (r *Runner) Run(ctx context.Context, job Job, emit Emit) error {
	p := &pipeline{runner: r, job: job, cacheAttempts: make(map[string]int)}
	defer p.releaseOutputs()
	plan, err := r.cfg.Plan(job.Route)
	if err != nil {
		return p.completeRefusal(err)
	}
	p.startStages(plan)
	defer p.cancelStages()
	if err := p.generate(ctx, emit); err != nil {
		return err
	}
	r.cfg.Succeeded(job.Route.Organisation, p.addresses()...)
	return nil
}
