package modeller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"banyanquay/internal/standin/emulator"
)

// clientTime is the way between a caller and a node.
const clientTime = time.Millisecond

// answer is what a caller saw of one stream.
type answer struct {
	begun time.Time
	// status is that of the last attempt; 0 if the connection was closed first.
	status int
	whole  bool
	first  time.Duration
	// gap is the longest pause between two events.
	gap time.Duration
	// length is the time from the first event to the last, and events their number.
	length time.Duration
	events int
}

// sink takes a stream in and notes when its events came. It belongs to the request's
// goroutine.
type sink struct {
	header http.Header
	status int
	events int
	first  time.Time
	last   time.Time
	gap    time.Duration
}

func (s *sink) Header() http.Header { return s.header }

func (s *sink) WriteHeader(status int) { s.status = status }

func (s *sink) Flush() {}

// Write counts the events in what was written.
func (s *sink) Write(data []byte) (int, error) {
	if s.status == 0 {
		s.status = http.StatusOK
	}
	n := bytes.Count(data, []byte("id: "))
	if s.status != http.StatusOK || n == 0 {
		return len(data), nil
	}
	now := time.Now()
	if s.events == 0 {
		s.first = now
	} else {
		s.gap = max(s.gap, now.Sub(s.last))
	}
	s.last = now
	s.events += n
	return len(data), nil
}

// callers lets streams begin, and collects their answers.
type callers struct {
	w *world

	mu      sync.Mutex
	answers []answer
}

// come lets the callers of a data centre come for the length of the pattern.
func (c *callers) come(ctx context.Context, wg *sync.WaitGroup, centre Centre, seed uint64) {
	dice := rand.New(rand.NewPCG(seed, 2))
	prompts, events := newSizes(c.w.pattern.Streams.Prompt), newSizes(c.w.pattern.Streams.Events)
	var near []*node
	for _, n := range c.w.nodes {
		if n.centre == centre.Name {
			near = append(near, n)
		}
	}
	begun := time.Now()
	for n := 0; ; n++ {
		at := time.Since(begun)
		rate := centre.Streams * c.w.pattern.factor(at)
		if rate <= 0 || !every(ctx, seconds(dice.ExpFloat64()/rate)) || time.Since(begun) >= seconds(c.w.pattern.Seconds) {
			return
		}
		id := fmt.Sprintf("%s-%d", centre.Name, n)
		prompt, answer := prompts.draw(dice), events.draw(dice)
		node, other := near[dice.IntN(len(near))], near[dice.IntN(len(near))]
		wg.Go(func() { c.ask(ctx, id, prompt, answer, node, other) })
	}
}

// ask asks for a stream, and once more at another node if it was turned away.
func (c *callers) ask(ctx context.Context, id string, prompt, events int, nodes ...*node) {
	a := answer{begun: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, millis(c.w.pattern.Streams.DeadlineMillis))
	defer cancel()
	for _, n := range nodes {
		time.Sleep(clientTime)
		s := c.try(ctx, n, id, prompt, events)
		a.status, a.whole, a.events, a.gap = s.status, s.status == http.StatusOK && s.events >= events, s.events, s.gap
		if s.events > 0 {
			a.first, a.length = s.first.Sub(a.begun)+clientTime, s.last.Sub(s.first)
		}
		wait, err := strconv.ParseFloat(s.header.Get("Retry-After"), 64)
		if s.status != http.StatusServiceUnavailable || err != nil || !every(ctx, seconds(wait)) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// try sends one request to a node.
func (c *callers) try(ctx context.Context, n *node, id string, prompt, events int) (s *sink) {
	s = &sink{header: http.Header{}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/", http.NoBody)
	if err != nil {
		return s
	}
	r.Host = host
	r.Header.Set(idHeader, id)
	r.Header.Set(sizeHeader, string(emulator.Body(prompt, events*emulator.Batches().Stride)))
	defer func() {
		p := recover()
		if err, ok := p.(error); p != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(p)
		}
	}()
	n.forwarder.ServeHTTP(s, r)
	return s
}

// sizes draws from a distribution.
type sizes struct {
	Size
	scale float64
}

// newSizes finds the scale once.
func newSizes(s Size) sizes { return sizes{s, s.scale()} }

// draw returns a size, at least 1.
func (s sizes) draw(dice *rand.Rand) int {
	return max(int(s.at(s.scale, dice.NormFloat64())+0.5), 1)
}

// at is the size at a deviation, if the sizes before the cut are scaled.
func (s Size) at(scale, deviation float64) float64 {
	sigma := math.Sqrt(math.Log1p(s.Spread * s.Spread))
	size := scale * s.Mean * math.Exp(sigma*deviation-sigma*sigma/2)
	if s.Most > 0 {
		size = min(size, s.Most)
	}
	return size
}

const (
	// halvings and grains are how finely scale is found.
	halvings = 20
	grains   = 400
	// mostDeviation bounds the deviations looked at, and mostScale the scale.
	mostDeviation = 5.0
	mostScale     = 4.0
)

// scale is by how much sizes before the cut are larger, so that the mean is the one
// asked for after it.
func (s Size) scale() float64 {
	low, high := 1.0, mostScale
	for range halvings {
		scale := (low + high) / 2
		sum, weight := 0.0, 0.0
		for i := range grains {
			z := mostDeviation * (2*float64(i)/(grains-1) - 1)
			density := math.Exp(-z * z / 2)
			sum += density * s.at(scale, z)
			weight += density
		}
		if sum/weight < s.Mean {
			low = scale
		} else {
			high = scale
		}
	}
	return low
}
