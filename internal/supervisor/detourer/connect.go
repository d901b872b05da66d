package detourer

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// failureTTL is how long a connection that was refused or not answered stands for the next
// one to the same endpoint that another node asks for: nodes find a stopped endpoint within
// some ten milliseconds of each other.
const failureTTL = 100 * time.Millisecond

// failed is the last connection to an endpoint that failed.
type failed struct {
	at  time.Time
	err error
}

// attempt is a connection that is being opened.
type attempt struct {
	// done is closed once err is set.
	done chan struct{}
	err  error
}

// isRefused reports whether an endpoint's host refused or reset a connection.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// connect opens a connection of this node and closes it unused.
func (d *Detourer) connect(ctx context.Context, address string) error {
	a := &attempt{done: make(chan struct{})}
	began := d.cfg.Now()
	d.mu.Lock()
	d.attempts[address] = a
	d.mu.Unlock()
	a.err = d.cfg.Direct.Probe(ctx, address)
	switch {
	case a.err == nil:
		d.noteConnected(address)
	case isRefused(a.err), !errors.Is(a.err, context.Canceled) && !d.cfg.PausedSince(began):
		d.noteFailed(address, a.err)
	}
	d.mu.Lock()
	if d.attempts[address] == a {
		delete(d.attempts, address)
	}
	d.mu.Unlock()
	close(a.done)
	return a.err
}

// noteConnected notes that an endpoint accepted a connection of this node.
func (d *Detourer) noteConnected(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failures, address)
	d.unconfirmed = 0
}

// noteFailed notes that an endpoint accepted no connection of this node.
func (d *Detourer) noteFailed(address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures[address] = failed{at: d.cfg.Now(), err: err}
}

// recentFailure returns the error of the last connection to an address if it failed a
// moment ago.
func (d *Detourer) recentFailure(address string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.failures[address]; ok && d.cfg.Now().Sub(f.at) < failureTTL {
		return f.err
	}
	return nil
}

// connectForPeer tells another node whether an endpoint accepts connections of this one. A
// failure of a moment ago or a connection that is being opened answers it; a connection that
// was open before doesn't, since the endpoint may have stopped since.
func (d *Detourer) connectForPeer(ctx context.Context, address string) error {
	if err := d.recentFailure(address); err != nil {
		return err
	}
	d.mu.Lock()
	a := d.attempts[address]
	d.mu.Unlock()
	if a != nil {
		select {
		case <-a.done:
			if !errors.Is(a.err, context.Canceled) {
				return a.err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return d.connect(ctx, address)
}
