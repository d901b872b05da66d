// Package archiver is an in-memory stand-in for the platform in tests: an
// append-only log with offsets and limited retention, and a list of VMs whose
// changes become visible after a delay.
package archiver

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"banyanquay/internal/provider"
	"banyanquay/internal/standin/server"
)

// defaultAppends is the default limit of appends per second.
const defaultAppends = 300

// Values of Switches.Outage.
const (
	// OutageNone means that appends work.
	OutageNone = "none"
	// OutageBefore means that appends fail without effect.
	OutageBefore = "before"
	// OutageAfter means that appends take effect but their reply is lost.
	OutageAfter = "after"
)

// Switches change the platform's behaviour at run time.
type Switches struct {
	// Outage is one of the Outage constants.
	Outage string `json:"outage"`
	// LateMillis, if positive, drops the reply of each append and applies the
	// append this many milliseconds later.
	LateMillis int64 `json:"late_ms"`
	// SlowMillis delays every append and read by this many milliseconds.
	SlowMillis int64 `json:"slow_ms"`
	// ReadOutage makes reads of the log fail.
	ReadOutage bool `json:"read_outage"`
	// ListOutage makes the list of VMs fail.
	ListOutage bool `json:"list_outage"`
	// RetentionMillis is the age in milliseconds at which records are
	// dropped; 0 means never.
	RetentionMillis int64 `json:"retention_ms"`
	// RetentionCount is how many records a stream keeps; 0 means all.
	RetentionCount int `json:"retention_count"`
	// AppendsPerSecond limits the rate of appends; excess appends are queued.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// Config configures the platform.
type Config struct {
	// VMs are the initial entries of the list, visible immediately.
	VMs []provider.VM
	// ListLag is the delay until a change of the list becomes visible.
	ListLag time.Duration
	// Switches are the initial values of the switches.
	Switches Switches
}

// Archiver is an in-memory platform.
type Archiver struct {
	control *server.Control[Switches]
	vms     *server.Lagging[[]provider.VM]

	mu sync.Mutex
	// streams are created on first use and never removed.
	streams map[string]*stream
	// nextAppendAt is the earliest time at which the next append takes effect.
	nextAppendAt time.Time
}

// New returns a platform.
func New(cfg Config) *Archiver {
	if cfg.Switches.AppendsPerSecond <= 0 {
		cfg.Switches.AppendsPerSecond = defaultAppends
	}
	if cfg.Switches.Outage == "" {
		cfg.Switches.Outage = OutageNone
	}
	return &Archiver{
		control: server.NewControl(cfg.Switches, nil),
		vms:     server.NewLagging(cfg.ListLag, cfg.VMs),
		streams: map[string]*stream{},
	}
}

// Control returns the switches.
func (a *Archiver) Control() *server.Control[Switches] {
	return a.control
}

// Log returns the log, for use in the same process.
func (a *Archiver) Log() provider.Log {
	return provider.Log{Append: a.append, Read: a.read}
}

// errReplyLost is the error of an append whose reply is dropped.
var errReplyLost = trace.ConnectionProblem(nil, "the platform's reply was lost")

// append adds a record. An accepted append takes effect even if the caller's
// context ends first.
func (a *Archiver) append(ctx context.Context, name string, data []byte) (provider.Position, error) {
	sw := a.control.Get()
	if !server.Pause(ctx, millis(sw.SlowMillis)) {
		return provider.Position{}, trace.Wrap(ctx.Err())
	}
	if sw.Outage == OutageBefore {
		return provider.Position{}, trace.ConnectionProblem(nil, "the platform is down")
	}
	done := make(chan provider.Position, 1)
	apply := func() {
		done <- a.stream(name).add(data)
	}
	wait := a.reserve(sw.AppendsPerSecond) + millis(sw.LateMillis)
	if wait > 0 {
		time.AfterFunc(wait, apply)
	} else {
		apply()
	}
	if sw.LateMillis > 0 {
		return provider.Position{}, errReplyLost
	}
	return await(ctx, done, sw)
}

// await returns the append's position unless its reply is lost.
func await(ctx context.Context, done <-chan provider.Position, sw Switches) (provider.Position, error) {
	select {
	case pos := <-done:
		if sw.Outage == OutageAfter {
			return provider.Position{}, errReplyLost
		}
		return pos, nil
	case <-ctx.Done():
		return provider.Position{}, trace.Wrap(ctx.Err())
	}
}

// reserve takes the next slot of the rate limit and returns the time until it.
func (a *Archiver) reserve(perSecond float64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if a.nextAppendAt.Before(now) {
		a.nextAppendAt = now
	}
	wait := a.nextAppendAt.Sub(now)
	if perSecond > 0 {
		a.nextAppendAt = a.nextAppendAt.Add(time.Duration(float64(time.Second) / perSecond))
	}
	return wait
}

// read returns a page; if it would be empty, read waits up to the given time for
// the first record.
func (a *Archiver) read(ctx context.Context, name string, from provider.Offset, wait time.Duration) (provider.Page, error) {
	sw := a.control.Get()
	if !server.Pause(ctx, millis(sw.SlowMillis)) {
		return provider.Page{}, trace.Wrap(ctx.Err())
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := wait <= 0; ; {
		sw = a.control.Get()
		if sw.ReadOutage {
			return provider.Page{}, trace.ConnectionProblem(nil, "the platform is down")
		}
		page, appended := a.stream(name).page(from, millis(sw.RetentionMillis), sw.RetentionCount)
		if len(page.Records) > 0 || waited {
			return page, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return provider.Page{}, trace.Wrap(ctx.Err())
		}
	}
}

// stream returns the named stream and creates it if it doesn't exist.
func (a *Archiver) stream(name string) *stream {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.streams[name]
	if s == nil {
		s = newStream()
		a.streams[name] = s
	}
	return s
}

func millis(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
