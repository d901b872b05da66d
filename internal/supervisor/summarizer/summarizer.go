// Package summarizer logs a node's latency histograms periodically, for operators who
// have the node's logs but no access to its metrics address.
package summarizer

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/counter"
	"banyanquay/internal/grouper"
	"banyanquay/internal/recorder"
)

// interval is the time between two log lines. It adds few lines compared with those
// of the requests.
const interval = 10 * time.Second

// Config holds the histograms and the log that they are written to.
type Config struct {
	Latencies *counter.Latencies
	Recorder  *recorder.Recorder
}

// Step logs the histograms at each interval and once more when its context ends.
func Step(cfg Config) grouper.Step {
	return grouper.Step{Name: "summaries", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, interval) {
			logHistograms(cfg)
		}
		logHistograms(cfg)
		return nil
	}}
}

// logHistograms logs the current histograms in one line.
func logHistograms(cfg Config) {
	l := cfg.Latencies
	cfg.Recorder.Info(recorder.LatencySummary,
		histogramField("answers", l.Answers), histogramField("first_events", l.FirstEvents),
		histogramField("first_events_short", l.FirstEventsShort), histogramField("first_events_long", l.FirstEventsLong),
		histogramField("pauses", l.Pauses), histogramField("recoveries", l.Recoveries))
}

// histogramField encodes a histogram in the same JSON as the metrics address.
func histogramField(name string, h *counter.Histogram) zap.Field {
	return zap.Any(name, json.RawMessage(h.String()))
}
