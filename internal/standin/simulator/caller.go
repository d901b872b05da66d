package simulator

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

// clientDelay is the one-way delay between a caller and a node.
const clientDelay = time.Millisecond

// answer is what a caller observed of one stream.
type answer struct {
	begun time.Time
	// status is the HTTP status of the last attempt; 0 if the connection was closed
	// without a response.
	status   int
	complete bool
	first    time.Duration
	// gap is the longest pause between two events.
	gap time.Duration
	// length is the time from the first event to the last, and events is their
	// number.
	length time.Duration
	events int
}

// streamRecorder is a response writer that records when events arrive. Only the
// request's goroutine uses it.
type streamRecorder struct {
	header http.Header
	status int
	events int
	first  time.Time
	last   time.Time
	gap    time.Duration
}

func (s *streamRecorder) Header() http.Header { return s.header }

func (s *streamRecorder) WriteHeader(status int) { s.status = status }

func (s *streamRecorder) Flush() {}

// Write counts the events in the data and records their time.
func (s *streamRecorder) Write(data []byte) (int, error) {
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

// callers starts streams and collects their answers.
type callers struct {
	fleet *fleet

	mu      sync.Mutex
	answers []answer
}

// startStreams starts the streams of a data centre at random times, at the pattern's
// rate, until the pattern ends.
func (c *callers) startStreams(ctx context.Context, wg *sync.WaitGroup, centre Centre, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	prompts, events := newSizeSampler(c.fleet.pattern.Streams.Prompt), newSizeSampler(c.fleet.pattern.Streams.Events)
	var local []*node
	for _, n := range c.fleet.nodes {
		if n.centre == centre.Name {
			local = append(local, n)
		}
	}
	begun := time.Now()
	for n := 0; ; n++ {
		at := time.Since(begun)
		rate := centre.Streams * c.fleet.pattern.factor(at)
		if rate <= 0 || !sleep(ctx, seconds(rng.ExpFloat64()/rate)) || time.Since(begun) >= seconds(c.fleet.pattern.Seconds) {
			return
		}
		id := fmt.Sprintf("%s-%d", centre.Name, n)
		prompt, answer := prompts.draw(rng), events.draw(rng)
		node, other := local[rng.IntN(len(local))], local[rng.IntN(len(local))]
		wg.Go(func() { c.request(ctx, id, prompt, answer, node, other) })
	}
}

// request requests a stream. If the node rejects it with a delay for the next
// attempt, it tries the other node after that delay.
func (c *callers) request(ctx context.Context, id string, prompt, events int, nodes ...*node) {
	a := answer{begun: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, millis(c.fleet.pattern.Streams.DeadlineMillis))
	defer cancel()
	for _, n := range nodes {
		time.Sleep(clientDelay)
		s := c.send(ctx, n, id, prompt, events)
		a.status, a.complete, a.events, a.gap = s.status, s.status == http.StatusOK && s.events >= events, s.events, s.gap
		if s.events > 0 {
			a.first, a.length = s.first.Sub(a.begun)+clientDelay, s.last.Sub(s.first)
		}
		wait, err := strconv.ParseFloat(s.header.Get("Retry-After"), 64)
		if s.status != http.StatusServiceUnavailable || err != nil || !sleep(ctx, seconds(wait)) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// send sends one request to a node.
func (c *callers) send(ctx context.Context, n *node, id string, prompt, events int) (s *streamRecorder) {
	s = &streamRecorder{header: http.Header{}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/", http.NoBody)
	if err != nil {
		return s
	}
	r.Host = host
	r.Header.Set(idHeader, id)
	r.Header.Set(sizeHeader, string(emulator.Body(prompt, events*emulator.BatchedDefaults().TokensPerEvent)))
	defer func() {
		p := recover()
		if err, ok := p.(error); p != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(p)
		}
	}()
	n.forwarder.ServeHTTP(s, r)
	return s
}

// sizeSampler samples sizes from a distribution.
type sizeSampler struct {
	Size
	scale float64
}

// newSizeSampler returns a sampler, with the scale calculated once.
func newSizeSampler(s Size) sizeSampler { return sizeSampler{s, s.scale()} }

// draw returns a random size, at least 1.
func (s sizeSampler) draw(rng *rand.Rand) int {
	return max(int(s.atDeviation(s.scale, rng.NormFloat64())+0.5), 1)
}

// atDeviation returns the size at a deviation from the median in standard deviations
// of the logarithm. The scale multiplies sizes before they are limited to Max.
func (s Size) atDeviation(scale, deviation float64) float64 {
	sigma := math.Sqrt(math.Log1p(s.Spread * s.Spread))
	size := scale * s.Mean * math.Exp(sigma*deviation-sigma*sigma/2)
	if s.Max > 0 {
		size = min(size, s.Max)
	}
	return size
}

const (
	// scaleIterations is the number of bisections in the search for the scale, and
	// scaleSamples the number of deviations at which the distribution is evaluated.
	scaleIterations = 20
	scaleSamples    = 400
	// maxDeviation limits the deviations that are evaluated, and maxScale the scale.
	maxDeviation = 5.0
	maxScale     = 4.0
)

// scale returns the factor for sizes before they are limited to Max that gives the
// limited sizes the configured mean.
func (s Size) scale() float64 {
	low, high := 1.0, maxScale
	for range scaleIterations {
		scale := (low + high) / 2
		sum, weight := 0.0, 0.0
		for i := range scaleSamples {
			z := maxDeviation * (2*float64(i)/(scaleSamples-1) - 1)
			density := math.Exp(-z * z / 2)
			sum += density * s.atDeviation(scale, z)
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
