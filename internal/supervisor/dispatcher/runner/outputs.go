package runner

import (
	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// usualOutputBytes is the length up to which an output isn't counted: requests in progress are not to
// fail for usual outputs when the budget is used up, and their number is limited.
const usualOutputBytes = 256

// outputMemory is the memory of the outputs that a pipeline keeps, as the next stages' inputs, until its
// request ends.
type outputMemory struct {
	// held is nil until an output is counted.
	held *bounder.Reservation
	// size is that of the counted outputs in bytes.
	size int64
}

// keepOutputs counts the outputs of a step. Its error is bounder.ErrExhausted if there is no memory for
// them, however much the request holds: its other outputs are not the fault of this endpoint.
func (p *pipeline) keepOutputs(outputs []string) error {
	size := p.outputs.size
	for _, output := range outputs {
		if len(output) > usualOutputBytes {
			size += int64(len(output))
		}
	}
	if size == p.outputs.size {
		return nil
	}
	if p.outputs.held == nil {
		held, err := p.runner.cfg.Budget.Calls.Reserve(size)
		if err != nil {
			return trace.Wrap(bounder.ErrExhausted)
		}
		p.outputs.held = held
	} else if p.outputs.held.Resize(size) != nil {
		return trace.Wrap(bounder.ErrExhausted)
	}
	p.outputs.size = size
	return nil
}

// releaseOutputs returns the memory of the outputs to the budget.
func (p *pipeline) releaseOutputs() {
	if p.outputs.held != nil {
		p.outputs.held.Release()
	}
}
