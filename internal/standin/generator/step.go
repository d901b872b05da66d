package generator

import (
	"slices"
	"time"

	"banyanquay/internal/driver"
)

// compute checks and computes a step, and returns its result and its cost. The state
// changes at once, so that a position is computed only once however often it is
// requested; the caller holds the result back for the cost.
func (g *Generator) compute(step driver.Step) (driver.StepResult, time.Duration, *driver.Refused) {
	leaving := g.control.Get().Leave
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := g.check(step, leaving); refused != nil {
		return driver.StepResult{}, 0, refused
	}
	ident := identity{model: step.Model, version: step.Version, adapter: step.Adapter}
	activations, refused := parseInputs(step, ident)
	if refused != nil {
		return driver.StepResult{}, 0, refused
	}
	r, refused := g.requests.admit(step.Request, step.Attempt, ident)
	if refused != nil {
		return driver.StepResult{}, 0, refused
	}
	if refused := r.checkPositions(step); refused != nil {
		return driver.StepResult{}, 0, refused
	}
	cost := g.cost(step, activations)
	result := driver.StepResult{Request: step.Request, Attempt: step.Attempt, Position: step.Position}
	layers := g.layers(step)
	for i, a := range activations {
		a.state = r.run(step.First, step.Last, step.Position+i, a.state)
		result.Outputs = append(result.Outputs, output(a, step.Last == layers))
	}
	g.recordTrace(step)
	g.totals = g.totals.with(step, len(step.Inputs))
	return result, cost, nil
}

// check refuses a step for reasons that don't depend on the request's cache. It needs
// the lock.
func (g *Generator) check(step driver.Step, leaving bool) *driver.Refused {
	if leaving && !g.requests.inProgress(step.Request) {
		g.totals.Refused++
		return refuse(driver.ReasonLeaving, "")
	}
	if g.layers(step) == 0 {
		return refuse(driver.ReasonNotHeld, "layers %d to %d of model %s, version %s, are not held", step.First, step.Last, step.Model, step.Version)
	}
	if g.queue.length() >= g.cfg.Slots+g.cfg.MaxQueue {
		return refuse(driver.ReasonOverload, "%d steps run or wait", g.queue.length())
	}
	return nil
}

// layers returns the number of layers of the step's model, or 0 if the engine does
// not hold the layers or the adapter that the step needs.
func (g *Generator) layers(step driver.Step) int {
	for _, h := range g.holdings {
		if holds(h, step) {
			return h.Layers
		}
	}
	return 0
}

// holds reports whether the holding covers the step.
func holds(h driver.Holding, step driver.Step) bool {
	if h.Model != step.Model || h.Version != step.Version {
		return false
	}
	if step.Adapter != "" && !slices.Contains(h.Adapters, step.Adapter) {
		return false
	}
	return h.First <= step.First && step.First < step.Last && step.Last <= h.Last
}

// parseInputs parses the inputs: texts at the first layer, activations after it.
func parseInputs(step driver.Step, ident identity) ([]activation, *driver.Refused) {
	activations := make([]activation, 0, len(step.Inputs))
	for i, input := range step.Inputs {
		if step.First == 0 {
			activations = append(activations, newActivation(ident, step.Position+i, input))
			continue
		}
		a, err := parseActivation(input)
		if err != nil {
			return nil, refuse(ReasonInput, "%v", err)
		}
		activations = append(activations, a)
	}
	return activations, nil
}

// output returns the token after the model's last layer, and the activation
// otherwise.
func output(a activation, last bool) string {
	if last {
		return token(a.state)
	}
	return a.String()
}

// cost returns the time of the step without load and slow factor: one decode step,
// and prefill for each further word that the prefix cache does not hold.
func (g *Generator) cost(step driver.Step, activations []activation) time.Duration {
	words := 0
	for _, a := range activations {
		hits := g.prefixes.insert(a.blocks)
		g.totals.Blocks += len(a.blocks)
		g.totals.Hits += hits
		words += max(1, a.words-hits*driver.BlockWords)
	}
	perLayer := g.cfg.StepTime + time.Duration(max(0, words-1))*g.cfg.PrefillTime
	return time.Duration(step.Last-step.First) * perLayer
}

// recordTrace records a step that was run, and drops the oldest half once maxTraces
// are kept.
func (g *Generator) recordTrace(step driver.Step) {
	if len(g.traces) >= maxTraces {
		g.traces = g.traces[maxTraces/2:]
	}
	g.traces = append(g.traces, Trace{
		Request:  step.Request,
		Attempt:  step.Attempt,
		Position: step.Position,
		Count:    len(step.Inputs),
		First:    step.First,
		Last:     step.Last,
		Fill:     step.Fill,
	})
}
