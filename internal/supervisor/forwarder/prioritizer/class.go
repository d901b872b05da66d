package prioritizer

import (
	"math"
	"time"
)

const (
	// levelStep is the change of a level that is told of, and levelInterval the minimum
	// time between two such changes.
	levelStep     = 0.1
	levelInterval = time.Second
	// maxOrganisations limits the memory of a class.
	maxOrganisations = 1024
	// minRateTime is the time that a rate covers at least, so that the first amount doesn't
	// count as a high rate.
	minRateTime = 300 * time.Millisecond
	// minPart is the part of a class's recent tokens below which an organisation doesn't
	// count as active, so that one with few requests doesn't lower the equal part.
	minPart = 0.01
)

// class is what is measured of one class.
type class struct {
	// level is the load from which on its requests are not admitted, and band the range
	// under it over which admission falls.
	level float64
	band  float64
	// admitted is the share of its new requests that is admitted, and returnAdmitted that of
	// its returning ones.
	admitted       float64
	returnAdmitted float64
	// asked is the rate of the tokens that new requests at this node need, and returned that
	// of returning ones.
	asked    rate
	returned rate
	// tokens are the recent tokens of admitted requests by organisation.
	tokens map[string]*rate
	// told is the level last told of, at toldAt.
	told   float64
	toldAt time.Time
}

// levelChange is a change of a level to tell of.
type levelChange struct {
	class    int
	from, to float64
}

func newClass(level float64) *class {
	return &class{level: level, told: level, tokens: make(map[string]*rate)}
}

// tell returns the change of the level since the last one told of, if it is due.
func (c *class) tell(now time.Time, class int) (levelChange, bool) {
	if math.Abs(c.level-c.told) <= levelStep || now.Sub(c.toldAt) < levelInterval {
		return levelChange{}, false
	}
	change := levelChange{class: class, from: c.told, to: c.level}
	c.told, c.toldAt = c.level, now
	return change, true
}

// addTokens adds the tokens of an admitted request.
func (c *class) addTokens(now time.Time, organisation string, tokens float64) {
	r := c.tokens[organisation]
	if r == nil {
		if len(c.tokens) >= maxOrganisations {
			c.dropIdle(now)
		}
		if len(c.tokens) >= maxOrganisations {
			return
		}
		r = new(rate)
		c.tokens[organisation] = r
	}
	r.add(now, tokens)
}

// dropIdle forgets the organisations without recent tokens.
func (c *class) dropIdle(now time.Time) {
	for name, r := range c.tokens {
		if r.perSecond(now) < 1 {
			delete(c.tokens, name)
		}
	}
}

// excess returns how many times its equal part of the recent tokens an organisation has,
// within 1 to maxExcess.
func (c *class) excess(now time.Time, organisation string) float64 {
	own := c.tokens[organisation]
	if own == nil || len(c.tokens) < 2 {
		return 1
	}
	total := 0.0
	for _, r := range c.tokens {
		total += r.perSecond(now)
	}
	active := 0
	for _, r := range c.tokens {
		if r.perSecond(now) > minPart*total {
			active++
		}
	}
	if total <= 0 {
		return 1
	}
	return min(max(own.perSecond(now)*float64(active)/total, 1), maxExcess)
}

// rate is a rate smoothed over a span of time.
type rate struct {
	// span is the time constant; 0 means rateTime.
	span time.Duration
	// value is the sum of the amounts, each decayed until at.
	value float64
	at    time.Time
	// since is the time of the first amount.
	since time.Time
}

// add adds an amount at a moment.
func (r *rate) add(now time.Time, amount float64) {
	if r.since.IsZero() {
		r.since = now
	}
	r.value = r.decayed(now) + amount
	r.at = now
}

// decayed returns the sum of the amounts, decayed until now.
func (r *rate) decayed(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/r.seconds())
}

// perSecond returns the rate as of now. Soon after the first amount the sum covers less
// than its span, and is divided by what it covers.
func (r *rate) perSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	elapsed := max(now.Sub(r.since), minRateTime).Seconds()
	covered := r.seconds() * (1 - math.Exp(-elapsed/r.seconds()))
	return r.decayed(now) / covered
}

// seconds returns the time constant in seconds.
func (r *rate) seconds() float64 {
	if r.span > 0 {
		return r.span.Seconds()
	}
	return rateTime.Seconds()
}
