package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/recorder"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher/admitter"
)

func TestReplayContinuesAfterReceivedTokens(t *testing.T) {
	var got []int
	answer := claimer.Answer{Body: []byte("c" + tokenSeparator + "d")}
	err := replay(answer, 2, func(position int, _ string) error {
		got = append(got, position)
		return nil
	})
	if want := []int{2, 3}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got positions %v, %v, want %v", got, err, want)
	}
}

// TestRetryOfAResumedRequestGetsTheSameTokens sends a non-idempotent request that
// resumes after two tokens twice: the retry must get the recorded answer.
func TestRetryOfAResumedRequestGetsTheSameTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := New(Config{
			Admit: func(context.Context, admitter.Request) (admitter.Grant, error) {
				return admitter.Grant{Release: func(int) {}}, nil
			},
			Ledger:    newReadyLedger(ctx, t),
			Pipelines: failAfter(9),
			Recorder:  recorder.Nop(),
			Counters:  counter.New(),
		})
		send := func(attempt uint64) (got []string) {
			chat := Chat{
				Request: "r", Prompt: "p", Tokens: 4, Resume: []string{"a ", "b "},
				Organisation: describer.Organisation{Template: describer.Template{ChatNonIdempotent: true}},
				Key:          Key{Value: "k", Number: attempt, Issued: time.Now().Truncate(time.Hour)},
			}
			err := d.Chat(ctx, chat, func(position int, token string) error {
				got = append(got, fmt.Sprint(position, " ", token))
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			return got
		}
		first := send(1)
		time.Sleep(time.Second)
		if again := send(2); len(first) != 2 || !slices.Equal(again, first) {
			t.Errorf("got %q at the retry, want %q", again, first)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
