package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/refuser"
)

// fleet is three nodes, a log and a service that counts executions.
type fleet struct {
	t     *testing.T
	log   *fakeLog
	nodes []node
	// homes follow the log for the nodes; if there are none, every node follows
	// it.
	homes []node

	mu          sync.Mutex
	runs        map[string]int
	killedNodes map[int]bool
	// disconnected holds the homes that answer no queries.
	disconnected map[int]bool
	// queries counts the queries to homes, queryBytes the bytes of queries
	// and replies.
	queries, queryBytes int
	outcomes            map[refuser.Ran]int
	// combined counts requests that ended with maybe and of which at least one
	// attempt was not answered with the attempt value never.
	combined int
}

// Parameters of the requests.
const (
	requests    = 300
	spacing     = 20 * time.Millisecond
	serviceTime = 50 * time.Millisecond
	retryAfter  = 500 * time.Millisecond
	maxTries    = 4
)

// TestShareOfAmbiguousEnds counts the outcomes of requests at their callers for
// each fault and kind of caller, and checks them against the service's count of
// executions.
func TestShareOfAmbiguousEnds(t *testing.T) {
	faults := map[string]func(*fleet){
		"no fault": func(*fleet) {},
		"lost replies": func(f *fleet) {
			for range 30 {
				time.Sleep(200 * time.Millisecond)
				f.log.update(func() { f.log.lostReplies = 2 })
			}
		},
		"outage of 3 s": func(f *fleet) {
			time.Sleep(2 * second)
			f.log.update(func() { f.log.down = true })
			time.Sleep(3 * second)
			f.log.update(func() { f.log.down = false })
		},
		"late effects": func(f *fleet) {
			time.Sleep(2 * second)
			f.log.update(func() { f.log.delayed = true })
			time.Sleep(second)
			f.log.applyDelayed()
		},
		"homes cut": func(f *fleet) {
			time.Sleep(2 * second)
			f.disconnectHomes(true, false)
			time.Sleep(second)
			f.disconnectHomes(true, true)
			time.Sleep(2 * second)
			f.disconnectHomes(false, true)
			time.Sleep(second)
			f.disconnectHomes(false, false)
		},
		"node killed": func(f *fleet) {
			time.Sleep(2 * second)
			f.mu.Lock()
			f.killedNodes[0] = true
			f.mu.Unlock()
		},
	}
	for fault, inject := range faults {
		for _, caller := range []string{"minted", "numbered", "unnumbered", "settling"} {
			for _, homes := range []int{0, 2} {
				if homes > 0 && (caller == "unnumbered" || caller == "settling") {
					continue // these callers send other attempts, but homes get the same queries
				}
				t.Run(fmt.Sprintf("%s/%s/%d homes", fault, caller, homes), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runScenario(t, inject, caller, homes) })
				})
			}
		}
	}
}

func runScenario(t *testing.T, inject func(*fleet), caller string, homes int) {
	f := &fleet{
		t: t, log: newFakeLog(),
		runs: make(map[string]int), killedNodes: make(map[int]bool), disconnected: make(map[int]bool), outcomes: make(map[refuser.Ran]int),
	}
	f.log.delay = 2 * time.Millisecond
	for i := range homes {
		f.homes = append(f.homes, run(t, f.config(fmt.Sprint("h", i))))
	}
	for i := range 3 {
		f.nodes = append(f.nodes, run(t, f.config(fmt.Sprint("n", i))))
	}
	synctest.Wait()
	var wg sync.WaitGroup
	wg.Go(func() { inject(f) })
	for i := range requests {
		time.Sleep(spacing)
		wg.Go(func() { f.request(i, caller) })
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%s: done %d, maybe %d, never %d; maybe after combining attempts: %d; %d queries, %d bytes",
		t.Name(), f.outcomes[refuser.Done], f.outcomes[refuser.Maybe], f.outcomes[refuser.Never], f.combined, f.queries, f.queryBytes)
}

// config returns the configuration of a node, which asks homes if there are any.
func (f *fleet) config(name string) Config {
	cfg := nodeConfig(f.log, name)
	if f.homes == nil && name[0] == 'n' {
		return cfg
	}
	cfg.Homes = func(int) []string { return []string{"h0", "h1"} }
	cfg.Query = func(_ context.Context, home string, query []byte) ([]byte, error) {
		time.Sleep(time.Millisecond)
		i := int(home[1] - '0')
		f.mu.Lock()
		disconnected := f.disconnected[i]
		f.mu.Unlock()
		if disconnected {
			return nil, errDown
		}
		reply, err := f.homes[i].HandleQuery(query)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.queries++
		f.queryBytes += len(query) + len(reply)
		return reply, err
	}
	return cfg
}

// disconnectHomes sets for each home whether it is disconnected.
func (f *fleet) disconnectHomes(disconnected ...bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range disconnected {
		f.disconnected[i] = disconnected[i]
	}
}

// request sends attempts to one node after the other until it is answered.
func (f *fleet) request(i int, caller string) {
	key := fmt.Sprint("k", i)
	a := Attempt{Organisation: "o", Key: key, Issued: time.Now(), Checks: "none"}
	var ran refuser.Ran
	sum := refuser.Never
	for try := range maxTries {
		n := (i + try) % len(f.nodes)
		if caller == "numbered" {
			a.Number = uint64(try + 1)
		}
		if caller == "minted" {
			a = f.nodes[n].Prepare(Attempt{Organisation: "o", Checks: "none"})
			key = a.Key
		}
		r := f.attempt(n, key, a)
		ran, sum = r.Ran, max(sum, r.Attempt)
		if ran == refuser.Done || caller == "minted" {
			break
		}
		time.Sleep(retryAfter)
	}
	if caller == "settling" && ran == refuser.Maybe {
		ran = f.nodes[1].Settle(f.t.Context(), a, refuser.New(refuser.CallerLeft, "gave up")).Ran
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[ran]++
	f.checkOutcome(key, ran)
	if ran == refuser.Maybe {
		f.checkOutcome(key, sum)
		f.combined += int(sum)
	}
}

// attempt claims the key and calls the service. A killed node returns no answer.
func (f *fleet) attempt(n int, key string, a Attempt) refuser.Refusal {
	lost, done := refuser.Refusal{}.WithRan(refuser.Maybe), refuser.Refusal{}.WithRan(refuser.Done)
	if f.killed(n) {
		return lost
	}
	ticket, answer, err := f.nodes[n].Begin(f.t.Context(), a)
	var r refuser.Refusal
	switch {
	case f.killed(n):
		return lost
	case answer != nil:
		return done
	case errors.As(err, &r):
		return r
	}
	f.mu.Lock()
	f.runs[key]++
	f.mu.Unlock()
	time.Sleep(serviceTime)
	if f.killed(n) {
		return lost
	}
	go func() { _ = ticket.Done(f.t.Context(), Answer{Status: 200}) }()
	return done
}

func (f *fleet) killed(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.killedNodes[n]
}

// checkOutcome checks the caller's outcome against the service's count of
// executions.
func (f *fleet) checkOutcome(key string, ran refuser.Ran) {
	runs := f.runs[key]
	if runs > 1 || (ran == refuser.Never && runs > 0) || (ran == refuser.Done && runs != 1) {
		f.t.Errorf("got %d executions of %s, told %v", runs, key, ran)
	}
}
