package counter

import (
	"encoding/json"
	"expvar"
	"reflect"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of a histogram, in microseconds, and its precision in significant digits.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 2
)

// Histogram is a latency histogram that expvar publishes. It is safe for
// concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// Record adds a duration; one over ten minutes counts as ten minutes.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// summary is the published form of a histogram, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// String returns the histogram's count, quantiles and max as JSON.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	millisAt := func(q float64) float64 { return float64(h.values.ValueAtQuantile(q)) / 1e3 }
	data, err := json.Marshal(summary{
		Count: h.values.TotalCount(), P50: millisAt(50), P90: millisAt(90), P95: millisAt(95), P99: millisAt(99),
		Max: float64(h.values.Max()) / 1e3,
	})
	if err != nil {
		return "{}" // finite numbers always encode
	}
	return string(data)
}

// Latencies holds the latency histograms of a node with relay.enabled.
type Latencies struct {
	// Answers is the time from a request's arrival to the end of its answer.
	Answers *Histogram `expvar:"banyanquay.latency.answers"`
	// FirstEvents is the time from a request's arrival to the first byte of its answer.
	FirstEvents *Histogram `expvar:"banyanquay.latency.first_events"`
	// FirstEventsShort and FirstEventsLong are the same of generations whose prompts have
	// fewer than 1,024 tokens, and of the others.
	FirstEventsShort *Histogram `expvar:"banyanquay.latency.first_events_short"`
	FirstEventsLong  *Histogram `expvar:"banyanquay.latency.first_events_long"`
	// Pauses is the longest pause between two events of each stream.
	Pauses *Histogram `expvar:"banyanquay.latency.pauses"`
	// Recoveries is the time from the last event before a stream's path was changed to
	// the first event after it.
	Recoveries *Histogram `expvar:"banyanquay.latency.recoveries"`
}

// NewLatencies returns empty histograms.
func NewLatencies() *Latencies {
	return &Latencies{
		Answers: NewHistogram(), FirstEvents: NewHistogram(),
		FirstEventsShort: NewHistogram(), FirstEventsLong: NewHistogram(), Pauses: NewHistogram(), Recoveries: NewHistogram(),
	}
}

// Publish registers the histograms with expvar under the names in their tags. Call it
// at most once per process.
func (l *Latencies) Publish() {
	v := reflect.ValueOf(*l)
	for i := range v.NumField() {
		expvar.Publish(v.Type().Field(i).Tag.Get("expvar"), v.Field(i).Interface().(*Histogram))
	}
}
