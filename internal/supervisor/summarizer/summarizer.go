// Package summarizer writes a node's latency histograms into its log from time to
// time, for whoever has the logs of a node but could not ask it.
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

// interval is the time between two lines: few beside the lines of requests.
const interval = 10 * time.Second

// Config is what a summarizer needs.
type Config struct {
	Latencies *counter.Latencies
	Recorder  *recorder.Recorder
}

// Step writes a line at each interval, and one when its context ends.
func Step(cfg Config) grouper.Step {
	return grouper.Step{Name: "summaries", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, interval) {
			write(cfg)
		}
		write(cfg)
		return nil
	}}
}

// write writes the histograms as of now.
func write(cfg Config) {
	l := cfg.Latencies
	cfg.Recorder.Info(recorder.LatencySummary,
		field("answers", l.Answers), field("first_events", l.FirstEvents),
		field("pauses", l.Pauses), field("recoveries", l.Recoveries))
}

// field is a histogram as its address publishes it.
func field(name string, h *counter.Histogram) zap.Field {
	return zap.Any(name, json.RawMessage(h.String()))
}
