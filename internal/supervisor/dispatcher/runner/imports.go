package runner

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
)

// Counters of replaced stages by how their caches were rebuilt.
const (
	countRefilled     = "refilled"
	countImported     = "imported"
	countPlacedAnew   = "placed_anew"
	countExportFailed = "export_failed"
	countExportStale  = "export_stale"
	countImportFailed = "import_failed"
	countImportUnused = "import_unused"
)

const (
	// importTimeout limits the total time of waiting for a slot, exporting a
	// cache and importing it.
	importTimeout = time.Second
	// maxImports limits the number of caches held in memory at once.
	maxImports = 2
)

// cacheSource is an endpoint that refused a stage's newest step and still holds
// the cache of all positions before it. It is an immutable value; the zero
// value means none.
type cacheSource struct {
	address string
	// attempt, first and last identify the cache.
	attempt int
	first   int
	last    int
}

// cacheSourceOf returns the source that stage i leaves behind, if the endpoint
// refused the step for a reason that still lets it export its cache.
func (p *pipeline) cacheSourceOf(i int, cause error) cacheSource {
	var refused *driver.Refused
	if !errors.As(cause, &refused) {
		return cacheSource{}
	}
	switch refused.Reason {
	case driver.ReasonLeaving, driver.ReasonOverload:
		s := p.stages[i]
		return cacheSource{address: s.Address, attempt: s.attempt, first: s.First, last: s.Last}
	default:
		return cacheSource{}
	}
}

// coversLayersOf reports whether the source's cache is of exactly the layers of a
// stage.
func (c cacheSource) coversLayersOf(s *stage) bool {
	return c.address != "" && c.first == s.First && c.last == s.Last
}

// matches reports whether an exported cache is the one that was requested.
func (c cacheSource) matches(cache driver.Cache, job Job, positions int) bool {
	return cache.Request == job.Request && cache.Attempt == c.attempt &&
		cache.Model == job.Route.Model && cache.Version == job.Route.Version &&
		cache.First == c.first && cache.Last == c.last &&
		cache.Positions == positions
}

// rebuildCaches brings the new stages i to i+n-1 to the state of the lost one
// and runs the newest input. A single stage imports the lost one's cache if
// possible. If the cache can't be exported, imported or used, the inputs are
// run again under a new attempt.
func (p *pipeline) rebuildCaches(ctx context.Context, i, n int, inputs []string) (string, int, error) {
	s := &p.stages[i]
	positions := len(inputs) - 1
	if n > 1 || positions == 0 || !p.source.coversLayersOf(s) {
		return p.countSuccess(countRefilled)(p.refill(ctx, i, n, inputs))
	}
	if counter, err := p.transferCache(ctx, s, positions); err != nil {
		p.recordFailedImport(counter, s, err)
		p.renewAttempt(s)
		return p.countSuccess(countRefilled)(p.refill(ctx, i, n, inputs))
	}
	s.inputs = inputs
	output, err := p.runNewestInput(ctx, s)
	if isCacheRefusal(err) {
		p.recordFailedImport(countImportUnused, s, err)
		p.renewAttempt(s)
		return p.countSuccess(countRefilled)(p.refill(ctx, i, n, inputs))
	}
	if err != nil {
		return p.mergeStages(i, i, 1, inputs, err)
	}
	return p.countSuccess(countImported)(output, i+1, nil)
}

// transferCache imports the source's cache of a number of positions into a
// stage. An error comes with the counter for what failed.
func (p *pipeline) transferCache(ctx context.Context, s *stage, positions int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	select {
	case p.runner.importSlots <- struct{}{}:
		defer func() { <-p.runner.importSlots }()
	case <-ctx.Done():
		return countExportFailed, ctx.Err()
	}
	cache, err := p.runner.cfg.Engine.Export(ctx, p.source.address, p.job.Request)
	if err != nil {
		return countExportFailed, err
	}
	if !p.source.matches(cache, p.job, positions) {
		return countExportStale, trace.BadParameter("%s exported an unexpected cache: attempt %d, layers %d to %d, %d positions",
			p.source.address, cache.Attempt, cache.First, cache.Last, cache.Positions)
	}
	cache.Attempt = s.attempt
	return countImportFailed, p.runner.cfg.Engine.Import(ctx, s.Address, cache)
}

// renewAttempt gives a stage a new attempt, so that anything an import left at
// the endpoint, or still delivers, belongs to an older attempt and is refused.
func (p *pipeline) renewAttempt(s *stage) {
	p.attempt++
	s.attempt = p.attempt
	p.cacheAttempts[s.Address] = p.attempt
}

// isCacheRefusal reports whether an endpoint refused a step because of the state
// of its cache.
func isCacheRefusal(err error) bool {
	var refused *driver.Refused
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case driver.ReasonMissing, driver.ReasonPositionTaken, driver.ReasonAttempt:
		return true
	default:
		return false
	}
}

// recordFailedImport counts and logs a cache that was not imported or couldn't
// be used.
func (p *pipeline) recordFailedImport(counter string, s *stage, cause error) {
	p.runner.cfg.Stages.Add(counter, 1)
	p.runner.cfg.Recorder.Warn(recorder.CacheNotImported,
		zap.String("request", p.job.Request), zap.String("from", p.source.address),
		zap.String("endpoint", s.Address), zap.String("reason", counter), zap.Error(cause))
}

// countSuccess returns a function that passes a result on and counts it if
// there is no error.
func (p *pipeline) countSuccess(counter string) func(output string, next int, err error) (string, int, error) {
	return func(output string, next int, err error) (string, int, error) {
		if err == nil {
			p.runner.cfg.Stages.Add(counter, 1)
		}
		return output, next, err
	}
}
