package summarizer

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"banyanquay/internal/counter"
	"banyanquay/internal/recorder"
)

// logLine holds the checked fields of a log line.
type logLine struct {
	Event      int `json:"event"`
	Recoveries struct {
		Count int     `json:"count"`
		P50   float64 `json:"p50_ms"`
	} `json:"recoveries"`
}

func TestHistogramsAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zap.InfoLevel)
		latencies := counter.NewLatencies()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- Step(Config{Latencies: latencies, Recorder: recorder.New(zap.New(core))}).Run(ctx) }()
		time.Sleep(interval / 2)
		latencies.Recoveries.Record(120 * time.Millisecond)
		time.Sleep(interval)
		latencies.Recoveries.Record(120 * time.Millisecond)
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got error %v", err)
		}
		var lines []logLine
		for decoder := json.NewDecoder(&out); decoder.More(); {
			var l logLine
			if err := decoder.Decode(&l); err != nil {
				t.Fatal(err)
			}
			lines = append(lines, l)
		}
		if len(lines) != 2 || lines[0].Recoveries.Count != 1 || lines[1].Recoveries.Count != 2 {
			t.Fatalf("got lines %+v, want one after the interval and one at the end", lines)
		}
		if got := lines[1]; got.Event != int(recorder.LatencySummary) || got.Recoveries.P50 < 119 || got.Recoveries.P50 > 122 {
			t.Errorf("got %+v, want event %d and a median of 120 ms", got, recorder.LatencySummary)
		}
	})
}
