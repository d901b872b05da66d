package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/driver"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
	"banyanquay/internal/standin/archiver"
	"banyanquay/internal/supervisor/claimer"
	"banyanquay/internal/supervisor/claimer/reducer"
	"banyanquay/internal/supervisor/dispatcher/admitter"
	"banyanquay/internal/supervisor/dispatcher/planner"
	"banyanquay/internal/supervisor/dispatcher/retrier"
	"banyanquay/internal/supervisor/dispatcher/runner"
)

// stoppingNode is a dispatcher, its ledger and the phases of the node's stop.
type stoppingNode struct {
	cfg Config
	// expiry ends at the deadline of the stop, by expire.
	expiry context.Context
	expire context.CancelFunc
	// closing ends, by closeGate, when new requests are refused.
	closing   context.Context
	closeGate context.CancelFunc
	// stopLedger ends the ledger's steps, and later reads its log with another ledger.
	stopLedger func()
	later      func() *claimer.Claimer
	// attempts counts the attempts of the key k, which was issued at the start.
	attempts uint64
	issued   time.Time
	// sent counts the calls and steps that were sent.
	sent atomic.Int32
}

// runStop runs a test with a node in fake time. Its services and engines work until their
// calls end.
func runStop(t *testing.T, test func(t *testing.T, n *stoppingNode)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ledgerCtx, stopLedger := context.WithCancel(ctx)
		log := archiver.New(archiver.Config{}).Log()
		n := &stoppingNode{stopLedger: stopLedger, issued: time.Now()}
		n.later = func() *claimer.Claimer { return newLedgerOf(ctx, t, log) }
		n.expiry, n.expire = context.WithCancel(ctx)
		n.closing, n.closeGate = context.WithCancel(ctx)
		n.cfg = Config{
			Admit:            grantAtOnce,
			AdmitCall:        grantAtOnce,
			Ledger:           newLedgerOf(ledgerCtx, t, log),
			Pipelines:        n.newRunner(),
			Services:         driver.Service{Do: n.call, Once: n.call},
			ServiceAddresses: func(string, string) []string { return []string{"s1", "s2"} },
			Failed:           func(string) {},
			Retry:            func(retrier.FailedAttempt) (time.Duration, error) { return 0, nil },
			Succeeded:        func(string, ...string) {},
			CallTimeout:      time.Minute,
			UntilStopped:     func(ctx context.Context) (context.Context, context.CancelFunc) { return endWith(ctx, n.expiry) },
			WhileInTime: func(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
				return endWith(ctx, n.closing)
			},
			Recorder: recorder.Nop(),
			Counters: counter.New(),
		}
		test(t, n)
		cancel()
		time.Sleep(time.Minute)
	})
}

// endWith returns a context that also ends when another one does.
func endWith(ctx, other context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(other, cancel)
	return ctx, cancel
}

func grantAtOnce(context.Context, admitter.Request) (admitter.Grant, error) {
	return admitter.Grant{Release: func(int) {}}, nil
}

// waitUntilDone waits for admission in vain.
func waitUntilDone(ctx context.Context, _ admitter.Request) (admitter.Grant, error) {
	<-ctx.Done()
	return admitter.Grant{}, refuser.New(refuser.CallerLeft, "left")
}

// call works until its context ends.
func (n *stoppingNode) call(ctx context.Context, _ string, call driver.Call) (driver.Answer, error) {
	n.sent.Add(1)
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	<-ctx.Done()
	return driver.Answer{}, ctx.Err()
}

// newRunner returns a runner whose only engine makes one token and then works until the
// step's context ends.
func (n *stoppingNode) newRunner() *runner.Runner {
	return runner.New(runner.Config{
		Engine: driver.Engine{
			Step: func(ctx context.Context, _ string, s driver.Step) (driver.StepResult, error) {
				n.sent.Add(1)
				if s.Position > 0 {
					<-ctx.Done()
					return driver.StepResult{}, ctx.Err()
				}
				return driver.StepResult{Request: s.Request, Attempt: s.Attempt, Outputs: slices.Repeat([]string{"t "}, len(s.Inputs))}, nil
			},
			Cancel: func(context.Context, string, driver.Cancel) error { return nil },
			Drop:   func(string) {},
		},
		Plan: func(planner.Request) (planner.Plan, error) {
			return planner.Plan{{Address: "e", First: 0, Last: 4}}, nil
		},
		Begin:   func(string) func(time.Duration, error) { return func(time.Duration, error) {} },
		Observe: func(string, time.Duration) {},
		Failed:  func(string) {},
		Retry: func(retrier.FailedAttempt) (time.Duration, error) {
			return 0, refuser.New(refuser.RetryBudgetSpent, "none left")
		},
		StepTimeout: 30 * time.Second,
		FillTimeout: 30 * time.Second,
		Recorder:    recorder.Nop(),
	})
}

// order calls a service once under the key k.
func (n *stoppingNode) order(ctx context.Context) error {
	_, err := New(n.cfg).Call(ctx, Call{
		Organisation: describer.Organisation{Template: describer.Template{Name: "desk"}},
		Route:        describer.Route{Service: "orders", NonIdempotent: true},
		Key:          n.nextAttempt(),
	})
	return err
}

// nextAttempt returns the key k with the number of its next attempt.
func (n *stoppingNode) nextAttempt() Key {
	n.attempts++
	return Key{Value: "k", Number: n.attempts, Issued: n.issued}
}

// query calls a service that may be called again.
func (n *stoppingNode) query(ctx context.Context) error {
	_, err := New(n.cfg).Call(ctx, Call{Route: describer.Route{Service: "orders"}})
	return err
}

// chatWith returns a chat request, which is non-idempotent under the key k if once is set.
func (n *stoppingNode) chatWith(once bool) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		return New(n.cfg).Chat(ctx, Chat{
			Request: "r", Prompt: "p", Tokens: 4,
			Organisation: describer.Organisation{Template: describer.Template{Name: "desk", ChatNonIdempotent: once}},
			Key:          n.nextAttempt(),
		}, func(int, string) error { return nil })
	}
}

// soon is the time in which a request is to end once the node's stop ends it. A node waits
// this long for the outcomes before its ledger stops.
const soon = 200 * time.Millisecond

// Guards against requests that may not be repeated and outlast the deadline of a planned
// stop: the ledger had stopped when they ended, so that their outcome was not recorded.
// A caller that has left before must not keep them in progress.
func TestStopEndsNonIdempotentRequests(t *testing.T) {
	for _, name := range []string{"call", "call whose caller left", "chat"} {
		t.Run(name, func(t *testing.T) {
			runStop(t, func(t *testing.T, n *stoppingNode) {
				send := n.order
				if name == "chat" {
					send = n.chatWith(true)
				}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				ended := make(chan error, 1)
				go func() { ended <- send(ctx) }()
				time.Sleep(10 * time.Second)
				if name == "call whose caller left" {
					leave()
					synctest.Wait()
				}
				n.expire()
				time.Sleep(soon)
				select {
				case err := <-ended:
					if got := refusal(err); got.Ran != refuser.Maybe || got.Attempt != refuser.Maybe {
						t.Errorf("got %v, want ran maybe", err)
					}
				default:
					t.Errorf("still in progress %s after the deadline", soon)
				}
				n.stopLedger()
				time.Sleep(time.Second)
				if got, _ := n.later().Lookup("desk", "k"); got.Phase != reducer.Lost {
					t.Errorf("got phase %s, want %s", got.Phase, reducer.Lost)
				}
			})
		})
	}
}

// Guards against a call that the stop ended before it was sent, and that is then tried at
// the next endpoint, or refused as if an endpoint had failed.
func TestStopEndsCallsThatAreNotSent(t *testing.T) {
	runStop(t, func(t *testing.T, n *stoppingNode) {
		n.cfg.Services.Once = func(ctx context.Context, address string, call driver.Call) (driver.Answer, error) {
			_, err := n.call(ctx, address, call)
			return driver.Answer{}, &driver.Unsent{Err: err}
		}
		n.cfg.Failed = func(address string) { t.Errorf("%s is reported as failed", address) }
		ended := make(chan error, 1)
		go func() { ended <- n.order(t.Context()) }()
		time.Sleep(10 * time.Second)
		n.expire()
		got := refusal(<-ended)
		if got.Code != refuser.Leaving || got.Attempt != refuser.Never || n.sent.Load() != 1 {
			t.Errorf("got %v and %d sent, want %s, attempt never, 1 sent", got, n.sent.Load(), refuser.Leaving)
		}
	})
}

// Guards against an endpoint that is taken for failed, and refused to callers as such, since
// a caller left or a stop ended its call.
func TestEndedCallsAreNoFailures(t *testing.T) {
	runStop(t, func(t *testing.T, n *stoppingNode) {
		n.cfg.Failed = func(address string) { t.Errorf("%s is reported as failed", address) }
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		var got refuser.Refusal
		if err := n.query(ctx); !errors.As(err, &got) || got.Code != refuser.CallerLeft || got.Ran != refuser.Maybe {
			t.Errorf("got %v, want %s, ran maybe", err, refuser.CallerLeft)
		}
	})
}

// Guards against requests that may not be repeated and that a node sends on in a planned stop
// although they may outlast it: they are cut with an unknown outcome, while another node
// would have had the time. Until they are sent, their callers can go there.
func TestStoppingNodeSendsNothingThatMayOutlastIt(t *testing.T) {
	for _, name := range []string{"call", "chat"} {
		for _, waits := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, waits %t", name, waits), func(t *testing.T) {
				runStop(t, func(t *testing.T, n *stoppingNode) {
					send := n.order
					if name == "chat" {
						send = n.chatWith(true)
					}
					began := time.Now()
					n.cfg.InTime = func(context.Context, string, time.Duration) bool {
						return waits && time.Since(began) < time.Second
					}
					n.cfg.Admit, n.cfg.AdmitCall = grantLater, grantLater
					err := send(t.Context())
					got := refusal(err)
					if got.Code != refuser.Leaving || got.Ran != refuser.Never || !got.Proved || n.sent.Load() != 0 {
						t.Errorf("got %v, proved %t and %d sent, want %s, ran never, proved, none sent", err, got.Proved, n.sent.Load(), refuser.Leaving)
					}
					n.cfg.InTime = nil
					ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
					defer cancel()
					_ = send(ctx)
					if n.sent.Load() == 0 {
						t.Error("the retry at a node that isn't stopping was not sent")
					}
				})
			})
		}
	}
}

// Guards against the refusal of requests that may be repeated: their callers lose less if
// most of them are answered in time than if all have to go to another node.
func TestStoppingNodeSendsWhatMayBeRepeated(t *testing.T) {
	runStop(t, func(t *testing.T, n *stoppingNode) {
		n.cfg.InTime = func(context.Context, string, time.Duration) bool { return false }
		for _, send := range []func(context.Context) error{n.query, n.chatWith(false)} {
			before := n.sent.Load()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_ = send(ctx)
			cancel()
			if n.sent.Load() == before {
				t.Error("got nothing sent, want one request")
			}
		}
	})
}

// grantLater admits after two seconds.
func grantLater(ctx context.Context, r admitter.Request) (admitter.Grant, error) {
	time.Sleep(2 * time.Second)
	return grantAtOnce(ctx, r)
}

// Guards against requests that wait for admission until little of a planned stop's time is
// left, and are then sent and cut: another node would have had the time. A request that was
// admitted in the same moment must give its place back.
func TestClosedGateRefusesRequestsThatWait(t *testing.T) {
	for _, name := range []string{"call", "query", "chat", "chat that may not be repeated"} {
		for _, admitted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, admitted %t", name, admitted), func(t *testing.T) {
				runStop(t, func(t *testing.T, n *stoppingNode) {
					sends := map[string]func(context.Context) error{
						"call": n.order, "query": n.query, "chat": n.chatWith(false), "chat that may not be repeated": n.chatWith(true),
					}
					released := 0
					wait := func(ctx context.Context, r admitter.Request) (admitter.Grant, error) {
						if !admitted {
							return waitUntilDone(ctx, r)
						}
						<-ctx.Done()
						return admitter.Grant{Release: func(int) { released++ }}, nil
					}
					n.cfg.Admit, n.cfg.AdmitCall = wait, wait
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					time.AfterFunc(5*time.Second, n.closeGate)
					began := time.Now()
					got := refusal(sends[name](ctx))
					if got.Code != refuser.Leaving || got.Ran != refuser.Never || n.sent.Load() != 0 || time.Since(began) > 5*time.Second+soon {
						t.Errorf("got %v after %s and %d sent, want %s, ran never in 5 s, none sent", got, time.Since(began), n.sent.Load(), refuser.Leaving)
					}
					if admitted && released != 1 {
						t.Errorf("got the place given back %d times, want once", released)
					}
				})
			})
		}
	}
}

// Guards against a caller that leaves while it waits and is refused as if the node stopped.
func TestCallersThatLeaveTheQueueAreNoStop(t *testing.T) {
	runStop(t, func(t *testing.T, n *stoppingNode) {
		n.cfg.AdmitCall = waitUntilDone
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if got := refusal(n.query(ctx)); got.Code != refuser.CallerLeft {
			t.Errorf("got %v, want %s", got, refuser.CallerLeft)
		}
	})
}
