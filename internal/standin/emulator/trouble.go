package emulator

// Kill ends an engine. A dark one leaves connections open and answers nothing.
func (e *Emulator) Kill(address string, dark bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	n.dead, n.dark = true, dark
	n.waiting, n.loading = nil, nil
	close(n.changed)
	n.changed = make(chan struct{})
}

// Start lets an engine that was killed come back, without layers.
func (e *Emulator) Start(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	n.dead, n.dark = false, false
	n.First, n.Last, n.orders, n.fence, n.tokens = 0, 0, 0, 0, 0
	close(n.changed)
	n.changed = make(chan struct{})
}

// Slow makes an engine slower by a factor.
func (e *Emulator) Slow(address string, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines[address].slow = factor
}

// Shed lets an engine turn a share of the requests away that are sent to it.
func (e *Emulator) Shed(address string, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines[address].shed = share
}
