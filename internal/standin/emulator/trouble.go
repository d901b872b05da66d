package emulator

// Kill stops an engine. It refuses connections, or leaves them open without an answer
// if unresponsive is set.
func (e *Emulator) Kill(address string, unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	n.down, n.dark = true, unresponsive
	n.waiting, n.loading = nil, nil
	close(n.changed)
	n.changed = make(chan struct{})
}

// Start restarts an engine that was killed. It holds no layers.
func (e *Emulator) Start(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	n.down, n.dark, n.silent = false, false, false
	n.First, n.Last, n.orders, n.fence, n.tokens = 0, 0, 0, 0, 0
	close(n.changed)
	n.changed = make(chan struct{})
}

// Silence makes an engine fall silent, or go on with all that it has. A silent engine
// accepts connections and loses nothing.
func (e *Emulator) Silence(address string, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := e.engines[address]
	n.silent = silent
	close(n.changed)
	n.changed = make(chan struct{})
}

// Slow multiplies the times of an engine by a factor.
func (e *Emulator) Slow(address string, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines[address].slowFactor = factor
}

// Shed makes an engine reject a share of the requests that are sent to it.
func (e *Emulator) Shed(address string, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engines[address].shedShare = share
}
