package supervisor

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/loader"
	"banyanquay/internal/ranker"
	"banyanquay/internal/standin/archiver"
	"banyanquay/internal/standin/booker"
)

// failure is a fault that lasts while an order is placed.
type failure struct {
	name string
	// begin starts the fault, end clears it.
	begin, end func(f *fleet)
}

// serviceFailure sets a switch of the plain service while the failure lasts.
func serviceFailure(name string, set func(s *booker.Switches)) failure {
	return failure{
		name: name,
		begin: func(f *fleet) {
			f.service.Control().Update(func(s booker.Switches) booker.Switches {
				set(&s)
				return s
			})
		},
		end: func(f *fleet) {
			f.service.Control().Update(func(booker.Switches) booker.Switches { return booker.Switches{} })
		},
	}
}

// logFailure sets a switch of the platform's log while the failure lasts.
func logFailure(name string, set func(s *archiver.Switches)) failure {
	return failure{
		name: name,
		begin: func(f *fleet) {
			f.platform.Control().Update(func(s archiver.Switches) archiver.Switches {
				set(&s)
				return s
			})
		},
		end: func(f *fleet) {
			f.platform.Control().Update(func(archiver.Switches) archiver.Switches {
				return archiver.Switches{}
			})
		},
	}
}

var failures = []failure{
	serviceFailure("reply cut", func(s *booker.Switches) { s.ReplyLost = true }),
	serviceFailure("service frozen", func(s *booker.Switches) { s.Freeze = true }),
	serviceFailure("service slow", func(s *booker.Switches) { s.DelayMillis = 700 }),
	serviceFailure("open connections silent", func(s *booker.Switches) { s.Silence = true }),
	logFailure("log out before the append", func(s *archiver.Switches) { s.Outage = archiver.OutageBefore }),
	logFailure("log out after the append", func(s *archiver.Switches) { s.Outage = archiver.OutageAfter }),
	logFailure("append late and its reply lost", func(s *archiver.Switches) { s.LateMillis = 400 }),
	logFailure("log unreadable", func(s *archiver.Switches) { s.ReadOutage = true }),
}

// checkOutcome compares the replies about a key, in the order in which they were
// received, with the number of executions that the service has counted.
func (f *fleet) checkOutcome(t *testing.T, key string, replies []reply) {
	t.Helper()
	n := f.executions(key)
	if n > 1 {
		t.Errorf("key %s: got %d executions, want at most 1", key, n)
	}
	var firstAnswer string
	for _, r := range replies {
		if r.status == http.StatusOK && n != 1 {
			t.Errorf("key %s: got an answer and %d executions, want 1", key, n)
		}
		if r.status != http.StatusOK {
			continue
		}
		if firstAnswer != "" && r.body != firstAnswer {
			t.Errorf("key %s: got answers %s and %s, want the same", key, firstAnswer, r.body)
		}
		firstAnswer = r.body
	}
	last := replies[len(replies)-1]
	if len(replies) == 1 && last.problem.Attempt == "never" && n != 0 {
		t.Errorf("key %s: got a reply that the attempt never ran after %d executions: %+v", key, n, last.problem)
	}
	if last.problem.Ran == "never" && n != 0 {
		t.Errorf("key %s: got a reply that the order never ran after %d executions: %+v", key, n, last.problem)
	}
}

// TestOrdersAtNodesThatAskHomes places orders at all nodes while each partition of
// the ledger has a single home, and stops the home of partition 0 after each round.
func TestOrdersAtNodesThatAskHomes(t *testing.T) {
	f := newFleetWith(t, 3, describer.ChecksNothing, func(s *loader.Settings) { s.Ledger.Homes = 1 })
	live := slices.Clone(f.nodes)
	for round := range 2 {
		key := fmt.Sprint("asked-", round)
		var replies []reply
		for i, node := range live {
			replies = append(replies, f.order(node, key, i+1))
		}
		for i, r := range replies {
			if r.status != http.StatusOK || r.body != replies[0].body {
				t.Errorf("%s at node %d: got %+v, want the first one's answer", key, i, r)
			}
		}
		f.checkOutcome(t, key, replies)
		home := ranker.Of("0").Top(live, 1)[0]
		i := slices.Index(f.nodes, home)
		if err := f.apps[i].Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		live = slices.DeleteFunc(live, func(node string) bool { return node == home })
		f.await("another home", func() bool { return f.order(live[0], "after "+key, 1).status == http.StatusOK })
	}
}

func TestOrdersRunAtMostOnceUnderPairsOfFailures(t *testing.T) {
	for _, first := range failures {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3, describer.ChecksNothing)
			for _, second := range failures {
				t.Run("then "+second.name, func(t *testing.T) {
					f.orderDuringFailures(t, first, second)
				})
			}
		})
	}
}

// orderDuringFailures sends an order during the first failure, again during both
// failures, and then without any until its outcome is final.
func (f *fleet) orderDuringFailures(t *testing.T, first, second failure) {
	key := "order with " + second.name
	first.begin(f)
	replies := []reply{f.order(f.nodes[0], key, 1)}
	second.begin(f)
	replies = append(replies, f.order(f.nodes[1], key, 2))
	first.end(f)
	second.end(f)
	replies = append(replies, f.retryUntilFinal(key))
	f.checkOutcome(t, key, replies)
	f.checkUnexecutedKeyRuns(t, key, replies)
}

// retryUntilFinal retries at the third node, without any failure, until the reply is
// one that further retries can't improve.
func (f *fleet) retryUntilFinal(key string) reply {
	var r reply
	attempt := 3
	f.await("an answer to "+key, func() bool {
		r = f.order(f.nodes[2], key, attempt)
		attempt++
		return r.status == http.StatusOK || r.problem.Name == "outcome_unknown" || r.problem.Name == "in_progress"
	})
	return r
}

// checkUnexecutedKeyRuns checks that the last retry, without any failure, was
// answered if all replies before it stated that the order never ran.
func (f *fleet) checkUnexecutedKeyRuns(t *testing.T, key string, replies []reply) {
	t.Helper()
	last := len(replies) - 1
	for _, r := range replies[:last] {
		if r.problem.Ran != "never" {
			return
		}
	}
	if replies[last].status != http.StatusOK {
		t.Errorf("key %s: got %+v for the last retry of an order that never ran, want an answer", key, replies[last].problem)
	}
}

func TestRefusedOrderNeverRunsLater(t *testing.T) {
	f := newFleet(t, 2, describer.ChecksNothing)
	for i, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			for _, attempts := range []int{1, 2} {
				key := fmt.Sprintf("refused-%d-%d", i, attempts)
				failure.begin(f)
				var replies []reply
				for n := range attempts {
					replies = append(replies, f.order(f.nodes[n], key, n+1))
				}
				failure.end(f)
				// A delayed append would take effect within this time.
				time.Sleep(time.Second)
				f.checkOutcome(t, key, replies)
			}
		})
	}
}
