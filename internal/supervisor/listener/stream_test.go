package listener

import (
	"context"
	"strings"
	"testing"

	"banyanquay/internal/describer"
	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/supervisor/dispatcher"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// emitTokens returns a chat that emits tokens at the positions and ends with
// err.
func emitTokens(err error, positions ...int) func(context.Context, dispatcher.Chat, runner.Emit) error {
	return func(_ context.Context, _ dispatcher.Chat, emit runner.Emit) error {
		for _, position := range positions {
			if err := emit(position, "t"); err != nil {
				return err
			}
		}
		return err
	}
}

func TestStreamEvents(t *testing.T) {
	broken := refuser.New(refuser.StreamBroken, "lost").WithRan(refuser.Maybe)
	tests := []struct {
		name     string
		received string
		chat     func(context.Context, dispatcher.Chat, runner.Emit) error
		// sequences are the positions of the tokens that the caller receives.
		sequences []int
		// end is the code of the error event; 0 means that the stream is
		// complete.
		end refuser.Code
	}{
		{"whole", `[]`, emitTokens(nil, 0, 1, 2), []int{0, 1, 2}, 0},
		{"resumed", `["a","b"]`, emitTokens(nil, 2, 3), []int{2, 3}, 0},
		{"broken after it started", `[]`, emitTokens(broken, 0), []int{0}, refuser.StreamBroken},
		{"gap", `[]`, emitTokens(nil, 0, 2), []int{0}, refuser.StreamBroken},
		{"repeat", `[]`, emitTokens(nil, 0, 0), []int{0}, refuser.StreamBroken},
		{"gap that the chat ignores", `[]`, emitIgnoringErrors(0, 2, 3), []int{0}, refuser.StreamBroken},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestListener()
			e.cfg.Chat = tc.chat
			w := e.send("POST", "/v1/completions", `{"prompt":"a","stream":true,"max_tokens":8,"system_fingerprint":"`+string(fingerprintOf(describer.Model{Name: "small", Version: "1"}))+`","received":`+tc.received+`}`)
			if got, want := w.Header().Get("Content-Type"), "text/event-stream"; got != want {
				t.Errorf("got %s, want %s", got, want)
			}
			events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
			for i, sequence := range tc.sequences {
				got, err := encoder.FromJSON[completion]([]byte(strings.TrimPrefix(events[i], "data: ")))
				if err != nil || got.Sequence == nil || *got.Sequence != sequence {
					t.Errorf("event %d: got %s, want sequence %d", i, events[i], sequence)
				}
			}
			checkEnd(t, events[len(tc.sequences):], tc.end)
		})
	}
}

// emitIgnoringErrors returns a chat that continues after a failed emit, like a
// request whose answer is recorded.
func emitIgnoringErrors(positions ...int) func(context.Context, dispatcher.Chat, runner.Emit) error {
	return func(_ context.Context, _ dispatcher.Chat, emit runner.Emit) error {
		for _, position := range positions {
			_ = emit(position, "t")
		}
		return nil
	}
}

// checkEnd checks the events after the last token.
func checkEnd(t *testing.T, events []string, code refuser.Code) {
	t.Helper()
	if code == 0 {
		if len(events) != 2 || !strings.Contains(events[0], `"finish_reason":"length"`) || events[1] != "data: [DONE]" {
			t.Errorf("got %q, want a reason and the explicit end", events)
		}
		return
	}
	if len(events) != 1 || !strings.HasPrefix(events[0], "event: error\ndata: ") || !strings.Contains(events[0], code.String()) {
		t.Errorf("got %q, want one error event with %s", events, code)
	}
}

func TestStreamRefusedBeforeItStarted(t *testing.T) {
	e := newTestListener()
	e.cfg.Chat = emitTokens(refuser.New(refuser.NoPipeline, "none"))
	p := problem(t, e.send("POST", "/v1/completions", `{"prompt":"a","stream":true}`))
	if p.Code != int(refuser.NoPipeline) || p.Ran != "never" {
		t.Errorf("got %+v, want no_pipeline, ran never", p)
	}
}
