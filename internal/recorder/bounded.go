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
	// maxQueuedLines is how many lines wait for a slow reader before more are dropped.
	maxQueuedLines = 2048
	// burstSeconds is for how many seconds' lines may come at once.
	burstSeconds = 4
	// reportInterval is the time between two lines about dropped ones.
	reportInterval = time.Second
)

// bounded is a writer that never blocks: it passes lines to a goroutine and
// drops those beyond a rate or beyond what that goroutine has written.
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

// Sync has nothing to do: lines are written as soon as they can be.
func (b *bounded) Sync() error { return nil }

// Bounded returns a logger of JSON lines to w, at most perSecond of them; it
// never waits for w. Stop writes what is queued.
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

// run writes lines until quit is closed and none is queued.
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
