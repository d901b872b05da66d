package recorder

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines queued for a slow reader; further lines
	// are dropped.
	maxQueuedLines = 2048
	// burstSeconds is the size of a burst, in seconds of the permitted rate.
	burstSeconds = 4
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = time.Second
)

// bounded is a writer that never blocks: it queues lines for a goroutine and drops
// those that exceed the rate limit or don't fit into the queue.
type bounded struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// Write queues a line or drops it.
func (b *bounded) Write(line []byte) (int, error) {
	if !b.limiter.Allow() {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: queued lines are written as soon as possible.
func (b *bounded) Sync() error { return nil }

// Bounded returns a logger that writes at most perSecond JSON lines per second to w
// and never waits for w. Calling stop writes the queued lines and ends it.
func Bounded(w io.Writer, level string, perSecond int) (log *zap.Logger, stop func(), err error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, trace.BadParameter("log level %q: %v", level, err)
	}
	b := &bounded{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond),
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), b, parsed))
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		b.run(w, New(log), quit)
	}()
	return log, func() {
		close(quit)
		<-done
	}, nil
}

// run writes lines until quit is closed and the queue is empty, and reports dropped
// lines.
func (b *bounded) run(w io.Writer, r *Recorder, quit <-chan struct{}) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		case <-report.C:
			if n := b.dropped.Swap(0); n > 0 {
				r.Warn(LinesDropped, zap.Int64("lines", n))
			}
		case <-quit:
			for len(b.lines) > 0 {
				_, _ = w.Write(<-b.lines)
			}
			return
		}
	}
}
