// Package prioritizer decides which requests of a service are admitted while its capacity
// is short: the more urgent classes first, with a floor for each.
package prioritizer

import (
	"sync"
	"time"

	"banyanquay/internal/supervisor/forwarder/forecaster"
)

//go:generate stringer -type=Action,Cause -linecomment -output=enums_string.go

// Action is what becomes of a request.
type Action int

// Values of Action.
const (
	// Admit means that the request may be sent.
	Admit Action = iota // admit
	// Wait means that the request is to be decided again after WaitInterval.
	Wait // wait
	// Reject means that the request is to be refused at once.
	Reject // reject
)

// Cause is the reason of a decision.
type Cause int

// Values of Cause.
const (
	// BelowLevel admits a request while the load is below the level of its class.
	BelowLevel Cause = iota // below_level
	// Begun admits a request whose caller has events already.
	Begun // begun
	// Floor admits the smallest share of each class.
	Floor // floor
	// AboveLevel rejects a request, or lets it wait, since capacity is kept for more urgent
	// classes.
	AboveLevel // above_level
	// OverPart does so since the class asks for more than its part and the request's draw is
	// high.
	OverPart // over_part
	// Full does so since no class is admitted.
	Full // full
	// NoPath rejects a request since no path has room for it.
	NoPath // no_path
)

const (
	// targetMargin is how far below Settings.Full the load is kept while capacity is short. It
	// covers that nodes know the load only roughly.
	targetMargin = 0.08
	// minLevel is the load below which every class is admitted. What was admitted within the
	// reaction time is added to the load for this.
	minLevel = 0.5
	// returnMargin is how far below Settings.Full, or else below the level of their class,
	// callers that return are admitted in the same way.
	returnMargin = 0.2
	// horizonFactor is the time in which a wrong load is to be corrected, in units of the
	// reaction time. Below about 0.7 the nodes would admit all and none in turn.
	horizonFactor = 2
	// newShare is the share of a class's part of the capacity that new requests get at least
	// while others return.
	newShare = 0.5
	// maxReturns is how often a caller comes back that waits for Retry-After each time.
	maxReturns = 2
	// maxExcess limits how far the draw of an organisation's requests is scaled.
	maxExcess = 2
	// waitShare is the share of a route's target for which a request may wait here.
	waitShare = 0.4
	// WaitInterval is the time between two decisions on a request that waits.
	WaitInterval = 20 * time.Millisecond
	// rateTime is the time over which rates are smoothed.
	rateTime = 2 * time.Second
	// defaultHeld is how long a request holds its tokens while none has ended.
	defaultHeld = 3 * time.Second
)

// Settings are the bounds of admission. They are an immutable value.
type Settings struct {
	// Full is the load from which on no request is admitted.
	Full float64
	// Floor is the share of each class that is admitted while the load is below Full.
	Floor float64
	// React is the time after which this node sees the effect of all nodes' decisions.
	React time.Duration
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{Full: 0.97, Floor: 0.03, React: 700 * time.Millisecond}
}

// Config configures a prioritizer. Its functions are safe for concurrent use.
type Config struct {
	// Settings returns the bounds, which may change.
	Settings func() Settings
	// Nodes returns how many nodes share the capacity; they are assumed to have as many
	// requests as this one.
	Nodes func() int
	// Rand returns a random number from 0 to 1, for the spread of returns.
	Rand func() float64
	// LevelChanged is called if a class's level has changed by more than levelStep, at most
	// once a second and class; nil means that nothing is done.
	LevelChanged func(class int, from, to float64)
}

// Request is what a decision depends on. It is an immutable value.
type Request struct {
	// ID is a hash of the request's ID. It fixes the request's draw.
	ID uint64
	// Class is the request's class, 0 being the most urgent, and Classes their number.
	Class   int
	Classes int
	// Organisation is the name of the caller's organisation.
	Organisation string
	// Tokens is the capacity that the request needs.
	Tokens int
	// Returning is set if the request was refused for room before, and Early if it comes back
	// before any Retry-After has passed.
	Returning bool
	Early     bool
	// Begun is set if the caller has events of the answer.
	Begun   bool
	Arrived time.Time
	// Target is the target of the first event, and Remaining the time until the caller's
	// timeout; 0 if there is none.
	Target    time.Duration
	Remaining time.Duration
	// Again is set from the second decision on the same request.
	Again bool
	// MayWait is set if this node has a place for one more request that waits.
	MayWait bool
}

// Decision is what becomes of a request. It is an immutable value.
type Decision struct {
	Action Action
	// RetryAfter is set for Reject.
	RetryAfter time.Duration
	// Level is the level of the request's class.
	Level float64
	Cause Cause
}

// Prioritizer decides on the requests of one service. It is safe for concurrent use.
type Prioritizer struct {
	cfg Config

	mu      sync.Mutex
	classes []*class
	trend   trend
	returns returns
	// ended is the rate at which tokens of this node's requests are released, and held that of
	// these tokens times the seconds for which they were held.
	ended rate
	held  rate
	// recent is the rate of the tokens admitted within about the reaction time, whose effect
	// this node may not see yet.
	recent rate
	// capacity is that of the last decision.
	capacity int
	// load is that of the last decision.
	load float64
}

// New returns a prioritizer.
func New(cfg Config) *Prioritizer {
	if cfg.LevelChanged == nil {
		cfg.LevelChanged = func(int, float64, float64) {}
	}
	return &Prioritizer{cfg: cfg}
}

// Decide decides on a request under the given room.
func (p *Prioritizer) Decide(now time.Time, req Request, room forecaster.Room) Decision {
	d, changes := p.decide(now, req, room)
	for _, c := range changes {
		p.cfg.LevelChanged(c.class, c.from, c.to)
	}
	return d
}

func (p *Prioritizer) decide(now time.Time, req Request, room forecaster.Room) (Decision, []levelChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.cfg.Settings()
	p.grow(max(req.Classes, req.Class+1))
	c := p.classes[req.Class]
	switch {
	case req.Again, req.Begun, req.Early:
	case req.Returning:
		c.returned.add(now, float64(req.Tokens))
	default:
		c.asked.add(now, float64(req.Tokens))
	}
	p.load, p.capacity = room.Load, room.Capacity
	p.trend.add(now, room.Load)
	changes := p.setLevels(now, s)
	d := Decision{Action: Admit, Level: c.level, Cause: BelowLevel}
	admitted, draw, certain := c.admitted, drawOf(req.ID), min(minLevel, s.Full)
	if req.Returning {
		certain = min(c.level, s.Full-returnMargin)
		admitted, draw = c.returnAdmitted, drawOf(returnID(req.ID, now))
	}
	scaled := draw * c.excess(now, req.Organisation)
	switch {
	case req.Begun:
		d.Cause = Begun
		return d, changes
	case room.Load+p.recentShare(now) < certain, room.Load < s.Full && (admitted >= 1 || scaled < admitted):
		return d, changes
	case drawOf(req.ID) < s.Floor && room.Load < s.Full:
		d.Cause = Floor
		return d, changes
	case room.Load >= s.Full:
		d.Cause = Full
	case room.Load >= c.level:
		d.Cause = AboveLevel
	default:
		d.Cause = OverPart
	}
	limit := max(c.level-scaled*c.band, min(minLevel, s.Full))
	left := time.Duration(waitShare*float64(req.Target)) - now.Sub(req.Arrived)
	if req.MayWait && left > 0 && p.trend.reaches(limit, left) {
		d.Action = Wait
		return d, changes
	}
	d.Action = Reject
	d.RetryAfter = p.retryAfter(now, req, limit)
	return d, changes
}

// RejectPath rejects a request for which no path has room.
func (p *Prioritizer) RejectPath(now time.Time, req Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grow(req.Class + 1)
	level := p.classes[req.Class].level
	return Decision{Action: Reject, Level: level, Cause: NoPath, RetryAfter: p.retryAfter(now, req, level)}
}

// Began counts a request as admitted.
func (p *Prioritizer) Began(now time.Time, class int, organisation string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grow(class + 1)
	p.classes[class].addTokens(now, organisation, float64(tokens))
	p.recent.span = p.cfg.Settings().React
	p.recent.add(now, float64(tokens))
}

// Ended counts the end of an admitted request that held its tokens for the given time.
func (p *Prioritizer) Ended(now time.Time, tokens int, held time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended.add(now, float64(tokens))
	p.held.add(now, float64(tokens)*held.Seconds())
}

// State is the load and the levels as of the last decision. It is an immutable value.
type State struct {
	Load   float64
	Levels []float64
}

// State returns the load and the levels as of the last decision.
func (p *Prioritizer) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{Load: p.load}
	for _, c := range p.classes {
		s.Levels = append(s.Levels, c.level)
	}
	return s
}

// grow adds classes up to the given number. The caller holds the lock.
func (p *Prioritizer) grow(n int) {
	for len(p.classes) < n {
		p.classes = append(p.classes, newClass(p.cfg.Settings().Full))
	}
}

// setLevels updates what is admitted of all classes, and returns the changes of levels to
// tell of. All rates are shares of the capacity per second. The caller holds the lock.
func (p *Prioritizer) setLevels(now time.Time, s Settings) []levelChange {
	var changes []levelChange
	scale := float64(max(p.cfg.Nodes(), 1)) / float64(max(p.capacity, 1))
	horizon := horizonFactor * s.React.Seconds()
	target := s.Full - targetMargin
	released := target / p.heldTime(now).Seconds()
	// available is what may be admitted: what is released at the target load, and what
	// brings the load to it within the horizon. urgent is what more urgent classes ask for.
	available := max((target-p.load)/horizon+released, 0)
	urgent := 0.0
	for i, c := range p.classes {
		asked := c.asked.perSecond(now) * scale
		// Callers that come back at once and again don't count each time.
		returned := min(c.returned.perSecond(now)*scale, maxReturns*asked)
		c.level = min(max(target+horizon*(released-urgent), minLevel), s.Full)
		c.band = horizon * asked
		returns := min(returned, available-min(asked, newShare*available))
		fresh := min(asked, available-returns)
		c.returnAdmitted, c.admitted = part(returns, returned, available), part(fresh, asked, available)
		available -= returns + fresh
		urgent += asked + returned
		// Below minLevel every class is admitted, and levels change without effect.
		if p.load < minLevel && c.level < s.Full {
			continue
		}
		if change, ok := c.tell(now, i); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// part returns the share of a rate that is admitted. Nothing asked is admitted whole unless
// nothing is available.
func part(admitted, asked, available float64) float64 {
	switch {
	case asked > 0:
		return admitted / asked
	case available > 0:
		return 1
	default:
		return 0
	}
}

// heldTime returns how long a request holds its tokens. The caller holds the lock.
func (p *Prioritizer) heldTime(now time.Time) time.Duration {
	ended := p.ended.decayed(now)
	if ended < 1 {
		return defaultHeld
	}
	return max(time.Duration(p.held.decayed(now)/ended*float64(time.Second)), time.Millisecond)
}

// recentShare returns the share of the capacity that all nodes are assumed to have admitted
// within the reaction time. The caller holds the lock.
func (p *Prioritizer) recentShare(now time.Time) float64 {
	return p.recent.decayed(now) * float64(max(p.cfg.Nodes(), 1)) / float64(max(p.capacity, 1))
}

// drawOf returns a number from 0 to 1 that is fixed for a request. It uses the high bits
// of the hash: the choice of a service uses the low ones.
func drawOf(id uint64) float64 {
	const bits = 53
	return float64(id>>(64-bits)) / (1 << bits)
}

// returnID returns the ID from which a returning request gets its draw. Draws of requests
// that return are high, so they get another one, at most as often as they are to return.
func returnID(id uint64, now time.Time) uint64 {
	const factor = 0x9e3779b97f4a7c15 // odd, so that it spreads the low bits over all
	return (id ^ uint64(now.UnixNano()/int64(minRetryAfter))) * factor
}
