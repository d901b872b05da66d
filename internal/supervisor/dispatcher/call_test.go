package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/standin/archiver"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/dispatcher/admitter"
)

// A service that checks keys or fences answers with a conflict if it has seen
// another call with the key. The conflict must not be recorded as the key's
// answer.
func TestConflictIsNotRecordedAsAnswer(t *testing.T) {
	tests := []struct {
		checks string
		code   refuser.Code
	}{
		{describer.ChecksNothing, 0},
		{describer.ChecksKey, refuser.OutcomeUnknown},
		{describer.ChecksFence, refuser.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.checks, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				d := newConflictDispatcher(ctx, t)
				result, err := d.Call(ctx, Call{
					Route: describer.Route{NonIdempotent: true, Checks: tt.checks},
					Key:   Key{Value: "k", Number: 1, Issued: time.Now()},
				})
				var got refuser.Refusal
				errors.As(err, &got)
				if got.Code != tt.code {
					t.Errorf("got %v, want code %v", err, tt.code)
				}
				if tt.code == 0 && result.Answer.Status != http.StatusConflict {
					t.Errorf("got status %d, want the service's own", result.Answer.Status)
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// newConflictDispatcher returns a dispatcher of a service that always answers
// with a conflict, once its ledger is ready.
func newConflictDispatcher(ctx context.Context, t *testing.T) *Dispatcher {
	return New(Config{
		AdmitCall: func(context.Context, admitter.Request) (admitter.Grant, error) {
			return admitter.Grant{Release: func(int) {}}, nil
		},
		Ledger: newReadyLedger(ctx, t),
		Services: driver.Service{Once: func(context.Context, string, driver.Call) (driver.Answer, error) {
			return driver.Answer{Status: http.StatusConflict}, nil
		}},
		ServiceAddresses: func(string, string) []string { return []string{"s"} },
		Succeeded:        func(string, ...string) {},
		Recorder:         recorder.Nop(),
		Counters:         counter.New(),
	})
}

// newReadyLedger returns a running ledger that has read the log to its end.
func newReadyLedger(ctx context.Context, t *testing.T) *claimer.Claimer {
	return newLedgerOf(ctx, t, archiver.New(archiver.Config{}).Log())
}

// newLedgerOf is newReadyLedger with a log that other ledgers may use, too.
func newLedgerOf(ctx context.Context, t *testing.T, log provider.Log) *claimer.Claimer {
	ledger := claimer.New(claimer.Config{
		Log:      log,
		Recorder: recorder.Nop(),
		Counters: counter.New(),
		Node:     "n",
		Linger:   time.Millisecond,
	})
	go func() {
		if err := ledger.Step().Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	for !ledger.Ready() {
		time.Sleep(time.Second)
	}
	return ledger
}
