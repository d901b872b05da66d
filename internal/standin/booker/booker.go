// Package booker is a stand-in for a plain service in tests. It counts the
// executions of each key.
package booker

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/standin/server"
)

// Config configures a service.
type Config struct {
	// Incarnation identifies this process; empty means a random one.
	Incarnation string
	// Services are the names of the services that it provides.
	Services []string
	// Checks is one of describer's Checks constants; empty means none.
	Checks string
	// Time is how long an execution takes.
	Time time.Duration
}

// Switches change the service's behaviour at run time.
type Switches struct {
	// Leave makes the service report that it is leaving and reject new calls.
	Leave bool `json:"leave"`
	// Freeze makes the service accept calls without executing or answering them.
	Freeze bool `json:"freeze"`
	// DelayMillis delays every call, before it is executed, by this many
	// milliseconds.
	DelayMillis int64 `json:"delay_ms"`
	// ReplyLost makes the service execute calls and close the connection without
	// an answer.
	ReplyLost bool `json:"reply_lost"`
	// Silence makes the currently open connections unresponsive; it is reset to
	// false at once.
	Silence bool `json:"silence"`
	// Refuse makes the service reject calls without executing them.
	Refuse bool `json:"refuse"`
}

// Execution is the answer to a call.
type Execution struct {
	Key string `json:"key"`
	// Execution counts the executions of the key.
	Execution int `json:"execution"`
	// Echo is the length of the call's body in bytes.
	Echo int `json:"echo"`
}

// Counts is the response body of GET /counts.
type Counts struct {
	// Executions is the number of executions of each key.
	Executions map[string]int `json:"executions"`
}

// Booker is a plain service.
type Booker struct {
	cfg     Config
	control *server.Control[Switches]
	silence *server.Silence

	mu sync.Mutex
	// keys holds the state of every key called so far.
	keys    map[string]*keyState
	running int
}

// keyState is the state kept for a key.
type keyState struct {
	executions int
	// fence is the highest fence seen for the key.
	fence uint64
	// last is the answer to the last execution.
	last Execution
}

// New returns a service.
func New(cfg Config) *Booker {
	if cfg.Incarnation == "" {
		cfg.Incarnation = uuid.NewString()
	}
	if cfg.Checks == "" {
		cfg.Checks = describer.ChecksNothing
	}
	b := &Booker{cfg: cfg, silence: server.NewSilence(), keys: map[string]*keyState{}}
	b.control = server.NewControl(Switches{}, func(sw Switches) Switches {
		if sw.Silence {
			b.silence.Begin()
		}
		sw.Silence = false
		return sw
	})
	return b
}

// Control returns the switches.
func (b *Booker) Control() *server.Control[Switches] { return b.control }

// Silence returns the control that makes the listener's open connections
// unresponsive.
func (b *Booker) Silence() *server.Silence { return b.silence }

// Status reports the service's state.
func (b *Booker) Status() driver.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return driver.Status{
		Incarnation: b.cfg.Incarnation,
		Leaving:     b.control.Get().Leave,
		Services:    b.cfg.Services,
		Running:     b.running,
	}
}

// Counts returns the executions by key.
func (b *Booker) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := Counts{Executions: map[string]int{}}
	for key, r := range b.keys {
		if r.executions > 0 {
			counts.Executions[key] = r.executions
		}
	}
	return counts
}

// call is one call of the service.
type call struct {
	key string
	// fence is 0 if the caller gave none.
	fence uint64
	echo  int
}

// execute executes a call unless a check prevents it: a lower fence is rejected,
// and a known key gets its last answer.
func (b *Booker) execute(c call) (Execution, *driver.Refused) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.keys[c.key]
	if r == nil {
		r = &keyState{}
		b.keys[c.key] = r
	}
	if b.cfg.Checks == describer.ChecksFence && c.fence < r.fence {
		return Execution{}, &driver.Refused{Reason: driver.ReasonFence, Detail: c.key}
	}
	r.fence = max(r.fence, c.fence)
	if b.cfg.Checks == describer.ChecksKey && r.executions > 0 {
		return r.last, nil
	}
	r.executions++
	r.last = Execution{Key: c.key, Execution: r.executions, Echo: c.echo}
	return r.last, nil
}

// addRunning adds n to the number of calls in progress.
func (b *Booker) addRunning(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += n
}
