package bencher

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/standin/generator"
)

// Fault holds the measurements around an injected fault.
type Fault struct {
	Kind string `json:"kind"`
	// Streams is the number of open streams that used the failed part; Resumed of
	// them got another token, and ResumedInTime of them did not wait longer than
	// one second for a token after the fault.
	Streams       int `json:"streams"`
	Resumed       int `json:"resumed"`
	ResumedInTime int `json:"within_1s"`
	// Percentiles of each stream's longest wait for a token after the fault, in
	// milliseconds.
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	Max float64 `json:"max_ms"`
	// Requests were sent in the whole run, and Whole of them answered whole.
	Requests int       `json:"requests"`
	Whole    int       `json:"whole"`
	Wrong    int       `json:"wrong"`
	Failures []Failure `json:"failures,omitempty"`
	// Amplification is as for a Load.
	Amplification float64 `json:"amplification"`
}

// faultPlan is a fault to be injected under load.
type faultPlan struct {
	kind string
	// affects returns a function that reports whether an unfinished request uses
	// the part that fails.
	affects func(ctx context.Context) (func(o outcome) bool, error)
	cause   func(ctx context.Context) error
	revert  func(ctx context.Context) error
}

// resumeTarget is the time in which streams should resume.
const resumeTarget = time.Second

// faultRate is the offered load around faults, as a part of the bound.
const faultRate = 0.5

// recoveryDelay is the time between faults in which the nodes' views of the fleet
// recover.
const recoveryDelay = 2 * time.Second

// Kinds of faults.
const (
	kindSilent      = "connection_silent"
	kindFrozen      = "stage_frozen"
	kindStageKilled = "stage_killed"
	kindNodeKilled  = "node_killed"
)

// defaultFaults are injected if Config.Faults is empty.
var defaultFaults = []string{kindSilent, kindFrozen, kindStageKilled, kindNodeKilled}

// faults injects each fault under load.
func (b *Bencher) faults(ctx context.Context, plans []faultPlan) ([]Fault, error) {
	nodes := b.nodes(b.cfg.Nodes[0].Policy)
	var faults []Fault
	for _, in := range plans {
		f, err := b.fault(ctx, nodes, in)
		if err != nil {
			return faults, trace.Wrap(err, "injecting the fault %s", in.kind)
		}
		faults = append(faults, f)
		time.Sleep(recoveryDelay)
	}
	return faults, nil
}

// selectPlans returns the faults and the changes that Config.Faults names, each
// in order.
func (b *Bencher) selectPlans() ([]faultPlan, []changePlan, error) {
	kinds := b.cfg.Faults
	if len(kinds) == 0 {
		kinds = defaultFaults
	}
	var faults []faultPlan
	var changes []changePlan
	for _, kind := range kinds {
		if in := b.faultPlans(kind); in != nil {
			faults = append(faults, in...)
			continue
		}
		a, ok := b.changePlan(kind)
		if !ok {
			return nil, nil, trace.BadParameter("unknown kind of fault or change %q", kind)
		}
		changes = append(changes, a)
	}
	return faults, changes, nil
}

// faultPlans returns the faults of a kind, or nil for an unknown kind.
func (b *Bencher) faultPlans(kind string) []faultPlan {
	switch kind {
	case kindSilent:
		return []faultPlan{b.silence(b.cfg.Silenced)}
	case kindFrozen:
		return []faultPlan{b.freeze(b.cfg.Frozen)}
	case kindStageKilled:
		all := make([]faultPlan, 0, len(b.cfg.Killed))
		for _, i := range b.cfg.Killed {
			all = append(all, b.killStage(i))
		}
		return all
	case kindNodeKilled:
		return []faultPlan{killNode(b.nodes(b.cfg.Nodes[0].Policy)[0])}
	}
	return nil
}

// fault injects one fault under load and measures its effect.
func (b *Bencher) fault(ctx context.Context, nodes []Node, in faultPlan) (Fault, error) {
	r := &run{b: b, nodes: addresses(nodes), tokens: b.cfg.Tokens, maxAttempts: len(nodes) + 1}
	before, err := b.engineTotals(ctx)
	if err != nil {
		return Fault{}, err
	}
	var injected injection
	r.sendAll(ctx, b.arrivals(faultRate, len(nodes), r.tokens), func(ctx context.Context) {
		time.Sleep(b.cfg.Warm)
		injected, err = r.inject(ctx, in)
	})
	if err != nil {
		return Fault{}, err
	}
	if in.revert != nil {
		if err := in.revert(ctx); err != nil {
			return Fault{}, err
		}
	}
	f := r.measureRecovery(injected)
	f.Kind = in.kind
	l := b.summarise(r.done, faultRate, len(nodes))
	f.Requests, f.Whole, f.Wrong, f.Failures = l.Requests, l.Whole, l.Wrong, l.Failures
	r.logFailures(in.kind)
	after, err := b.engineTotals(ctx)
	if err != nil {
		return f, err
	}
	f.Amplification = b.amplification(after.Sub(before), r.done)
	_, _ = fmt.Fprintf(b.cfg.Stderr, "%s: %d of %d streams within 1 s\n", f.Kind, f.ResumedInTime, f.Streams)
	return f, nil
}

// logFailures writes every request that failed, with its error.
func (r *run) logFailures(kind string) {
	for _, o := range r.done {
		if o.err != nil {
			_, _ = fmt.Fprintf(r.b.cfg.Stderr, "%s: request %s first at %s, last at %s, sent at %.3f s, last token at %.3f s, with %d tokens: %v\n",
				kind, o.id, r.nodes[o.node], o.nodeAddress, o.sent.Seconds(), o.ended.Seconds(), len(o.tokens), oneLine(o.err))
		}
	}
}

// oneLine writes an error with all its reasons in one line.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}

// injection is the time of a fault and the requests that it affected.
type injection struct {
	at time.Duration
	// openTokens maps each affected request that had received a token, but not
	// all, to its number of tokens.
	openTokens map[*outcome]int
}

// inject injects the fault and records the requests that it affects.
func (r *run) inject(ctx context.Context, in faultPlan) (injection, error) {
	affects, err := in.affects(ctx)
	if err != nil {
		return injection{}, err
	}
	s := injection{openTokens: make(map[*outcome]int)}
	r.mu.Lock()
	s.at = r.elapsed()
	for _, o := range r.inFlight {
		if len(o.tokens) > 0 && len(o.tokens) < r.tokens && affects(*o) {
			s.openTokens[o] = len(o.tokens)
		}
	}
	r.mu.Unlock()
	if _, err := r.b.engineTotals(ctx); err != nil {
		return s, err
	}
	return s, in.cause(ctx)
}

// measureRecovery measures how long the affected streams stalled.
func (r *run) measureRecovery(s injection) Fault {
	waits := hdrhistogram.New(minMicros, maxMicros, digits)
	f := Fault{Streams: len(s.openTokens)}
	for o := range s.openTokens {
		wait, ok := longestWait(o.tokens, s.at)
		if !ok {
			continue
		}
		f.Resumed++
		if wait <= resumeTarget {
			f.ResumedInTime++
		}
		_ = waits.RecordValue(wait.Microseconds())
	}
	f.P50, f.P95, f.Max = percentileMillis(waits, 50), percentileMillis(waits, 95), percentileMillis(waits, 100)
	return f
}

// longestWait returns the longest wait for a token after the fault. It covers all
// later tokens, since the next one may already have passed the failed part.
func longestWait(tokens []time.Duration, at time.Duration) (time.Duration, bool) {
	longest, found := time.Duration(0), false
	last := at
	for _, token := range tokens {
		if token <= at {
			continue
		}
		longest, found = max(longest, token-last), true
		last = token
	}
	return longest, found
}

// requestsUsing returns a function that reports whether an engine has run steps
// of a request.
func (b *Bencher) requestsUsing(i int) func(ctx context.Context) (func(o outcome) bool, error) {
	return func(ctx context.Context) (func(o outcome) bool, error) {
		traces, err := fetch[[]generator.Trace](ctx, b.control, b.cfg.Endpoints[i].Address, "/trace")
		users := make(map[string]bool)
		for _, t := range traces {
			users[t.Request] = true
		}
		return func(o outcome) bool { return users[o.id] }, err
	}
}

// setSwitches changes the switches of the i-th endpoint.
func (b *Bencher) setSwitches(i int, change generator.Switches) func(ctx context.Context) error {
	return b.setSwitchesAt(b.cfg.Endpoints[i].Address, change)
}

// setSwitchesAt changes the switches of the engine at an address.
func (b *Bencher) setSwitchesAt(address string, change generator.Switches) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		body, err := encoder.JSON(change)
		if err != nil {
			return err
		}
		_, err = exchange[generator.Switches](ctx, b.control, http.MethodPost, address, "/control", body)
		return err
	}
}

// silence makes an engine's open connections unresponsive.
func (b *Bencher) silence(i int) faultPlan {
	return faultPlan{
		kind:    kindSilent,
		affects: b.requestsUsing(i),
		cause:   b.setSwitches(i, generator.Switches{Silence: true}),
	}
}

// freeze makes an engine stop answering.
func (b *Bencher) freeze(i int) faultPlan {
	return faultPlan{
		kind:    kindFrozen,
		affects: b.requestsUsing(i),
		cause:   b.setSwitches(i, generator.Switches{Freeze: true}),
		revert:  b.setSwitches(i, generator.Switches{}),
	}
}

// killStage kills an engine's process.
func (b *Bencher) killStage(i int) faultPlan {
	return faultPlan{
		kind:    kindStageKilled,
		affects: b.requestsUsing(i),
		cause:   kill(b.cfg.Endpoints[i].PID),
	}
}

// killNode kills a node's process; its callers continue at another node.
func killNode(n Node) faultPlan {
	return faultPlan{
		kind: kindNodeKilled,
		affects: func(context.Context) (func(o outcome) bool, error) {
			return func(o outcome) bool { return o.nodeAddress == n.Address }, nil
		},
		cause: kill(n.PID),
	}
}

// kill sends SIGKILL to a process.
func kill(pid int) func(ctx context.Context) error {
	return func(context.Context) error {
		return trace.ConvertSystemError(syscall.Kill(pid, syscall.SIGKILL))
	}
}
