package follower

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
	"banyanquay/internal/refuser"
)

// refusalOf returns the code of a refusal and whether it states that the request ran.
func refusalOf(t *testing.T, err error) (refuser.Code, refuser.Ran) {
	t.Helper()
	var r refuser.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return r.Code, r.Ran
}

func TestPublishSucceedsDespiteLogFaults(t *testing.T) {
	tests := map[string]func(l *fakeLog){
		"at once":            func(*fakeLog) {},
		"lost replies":       func(l *fakeLog) { l.lostReplies = 3 },
		"late effects":       func(l *fakeLog) { l.lateAppends, l.lateBy = 2, 4*time.Second },
		"late and lost":      func(l *fakeLog) { l.lateAppends, l.lateBy, l.lostReplies = 1, 700*time.Millisecond, 1 },
		"appends fail first": func(l *fakeLog) { l.appendDown = true; time.AfterFunc(5*time.Second, func() { l.outage(false) }) },
		"reads fail after the append": func(l *fakeLog) {
			l.readDown = true
			time.AfterFunc(6*time.Second, func() { l.outage(false) })
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newFakeLog()
				n := start(t, l, "n1", "n1")
				synctest.Wait()
				l.locked(func() { disturb(l) })
				out, err := n.Publish(t.Context(), change("acme", 0, 0.5))
				if err != nil || out.Revision != 1 {
					t.Fatalf("got %+v and %v, want revision 1", out, err)
				}
				time.Sleep(time.Minute)
				o, _ := n.View().Organisation("acme")
				if got, want := o.Revision, describer.Revision(1); got != want {
					t.Errorf("got revision %d after every append had taken effect, want %d", got, want)
				}
			})
		})
	}
}

func TestPublishThroughAnOutageSaysMaybe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		n := start(t, l, "n1", "n1")
		synctest.Wait()
		l.locked(func() { l.lateAppends, l.lateBy = 1000, 40*time.Second })
		_, err := n.Publish(t.Context(), change("acme", 0, 0.5))
		if code, ran := refusalOf(t, err); code != refuser.LogUnavailable || ran != refuser.Maybe {
			t.Fatalf("got %v, want log_unavailable and maybe", err)
		}
		time.Sleep(time.Minute)
		if _, ok := n.View().Organisation("acme"); !ok {
			t.Error("got no organisation, want that of the append that took effect late")
		}
	})
}

func TestOutageKeepsServingAndReportsStaleness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.outage(true)
		n := start(t, l, "n1", "n1")
		time.Sleep(time.Minute)
		_, err := n.Publish(t.Context(), change("acme", 0, 0.5))
		if code, _ := refusalOf(t, err); code != refuser.NotCaughtUp || n.Ready() {
			t.Fatalf("got %v from a node that has read nothing, want not_caught_up", err)
		}
		l.outage(false)
		time.Sleep(2 * maxRetryDelay)
		if _, err := n.Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		l.outage(true)
		time.Sleep(10 * time.Minute)
		_, err = n.Publish(t.Context(), change("acme", 1, 0.6))
		if code, ran := refusalOf(t, err); code != refuser.LogUnavailable || ran != refuser.Never {
			t.Errorf("got %v, want log_unavailable and never", err)
		}
		o, ok := n.View().ByKeyHash(describer.HashKey("acme"))
		if !ok || o.Revision != 1 || !n.Ready() {
			t.Errorf("got %+v, want revision 1 served through the outage", o)
		}
		if got, least := n.View().Staleness(time.Now()), 10*time.Minute; got < least {
			t.Errorf("got stale for %v, want at least %v", got, least)
		}
		l.outage(false)
		time.Sleep(2*maxRetryDelay + longPollTimeout)
		if got, most := n.View().Staleness(time.Now()), 2*longPollTimeout; got > most {
			t.Errorf("got stale for %v after the outage, want at most %v", got, most)
		}
	})
}

func TestConcurrentPublishesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		nodes := []*node{start(t, l, "n1", "n1", "n2"), start(t, l, "n2", "n1", "n2")}
		synctest.Wait()
		for base := describer.Revision(0); base < 5; base++ {
			errs := make(chan error)
			for i, n := range nodes {
				go func() {
					_, err := n.Publish(t.Context(), change("acme", base, 0.1*float64(i+1)))
					errs <- err
				}()
			}
			failures := errors.Join(<-errs, <-errs)
			if code, ran := refusalOf(t, failures); code != refuser.Conflict || ran != refuser.Never {
				t.Fatalf("got %v, want one conflict", failures)
			}
			synctest.Wait()
			for _, n := range nodes {
				o, _ := n.View().Organisation("acme")
				if got, want := o.Revision, base+1; got != want {
					t.Errorf("got revision %d, want %d", got, want)
				}
			}
		}
	})
}

func TestKeyOfAnotherOrganisationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := start(t, newFakeLog(), "n1", "n1")
		synctest.Wait()
		if _, err := n.Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		other := change("bolt", 0, 0.5)
		other.Template.KeyHashes = template("acme", 1).KeyHashes
		_, err := n.Publish(t.Context(), other)
		if code, _ := refusalOf(t, err); code != refuser.BadTemplate {
			t.Errorf("got %v, want bad_template", err)
		}
	})
}

// fleetOf starts nodes that list each other as live.
func fleetOf(t *testing.T, l *fakeLog, size int) []*node {
	var names []string
	for i := range size {
		names = append(names, fmt.Sprint("n", i))
	}
	var nodes []*node
	for _, name := range names {
		nodes = append(nodes, start(t, l, name, names...))
	}
	synctest.Wait()
	return nodes
}

// joinerBecomesReady starts a node and reports whether it becomes ready in the time
// that the other nodes need to notice that the newest snapshot is no longer retained.
// It stops the node again.
func joinerBecomesReady(t *testing.T, l *fakeLog, name string) bool {
	joiner := startEvery(t, l, time.Hour, name, name)
	defer joiner.stop()
	time.Sleep(longPollTimeout + urgentRankDelay + 2*snapshotCheckInterval)
	o, _ := joiner.View().Organisation("acme")
	if joiner.Ready() != (o.Revision == 1) {
		t.Errorf("got ready %t with revision %d", joiner.Ready(), o.Revision)
	}
	return joiner.Ready()
}

func TestSnapshotsOutliveRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.retention = time.Minute
		nodes := fleetOf(t, l, 5)
		if _, err := nodes[0].Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			time.Sleep(37 * time.Second)
			if !joinerBecomesReady(t, l, fmt.Sprint("j", i)) {
				t.Fatalf("joiner %d is not ready", i)
			}
		}
		l.outage(true)
		time.Sleep(5 * time.Minute)
		l.outage(false)
		time.Sleep(20 * time.Second)
		if !joinerBecomesReady(t, l, "late") {
			t.Error("a joiner after an outage longer than the retention is not ready")
		}
	})
}

func TestOneNodeAppendsSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.delay = 1200 * time.Millisecond
		nodes := fleetOf(t, l, 9)
		if _, err := nodes[0].Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * 24 * time.Second)
		if got, least, most := l.size()-1, 8, 13; got < least || got > most {
			t.Errorf("got %d snapshots, want %d to %d", got, least, most)
		}
	})
}

func TestSnapshotsWithoutTheFirstRankedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.retention = time.Minute
		n := start(t, l, "n1", "n1", "gone1", "gone2", "gone3", "gone4")
		synctest.Wait()
		if _, err := n.Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		for i := range 10 {
			time.Sleep(50 * time.Second)
			if !joinerBecomesReady(t, l, fmt.Sprint("j", i)) {
				t.Fatalf("joiner %d is not ready", i)
			}
		}
	})
}

func TestRetentionShorterThanTheSnapshotInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.retention = time.Minute
		n := startEvery(t, l, time.Hour, "n1", "n1")
		synctest.Wait()
		if _, err := n.Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		for i := range 10 {
			time.Sleep(2 * time.Minute)
			if !joinerBecomesReady(t, l, fmt.Sprint("j", i)) {
				t.Fatalf("joiner %d is not ready", i)
			}
		}
	})
}

func TestFleetRestartedAfterRetentionIsNotCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.retention = time.Minute
		nodes := fleetOf(t, l, 3)
		if _, err := nodes[0].Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		l.outage(true)
		for _, n := range nodes {
			n.stop()
		}
		time.Sleep(5 * time.Minute)
		l.outage(false)
		n := start(t, l, "n9", "n9")
		time.Sleep(time.Minute)
		_, err := n.Publish(t.Context(), change("acme", 0, 0.5))
		if code, _ := refusalOf(t, err); n.Ready() || code != refuser.NotCaughtUp {
			t.Errorf("got ready %t and %v, want not_caught_up", n.Ready(), err)
		}
	})
}

func TestRestoreEndsAGapAtEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.retention = 30 * time.Second
		nodes := fleetOf(t, l, 3)
		if _, err := nodes[0].Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		if _, err := nodes[0].Restore(t.Context()); err == nil {
			t.Error("a node with the whole configuration accepted a restore")
		}
		synctest.Wait()
		l.locked(func() { l.readDown = true })
		time.Sleep(time.Second)
		l.locked(func() { l.put([]byte("seen by nobody")) })
		time.Sleep(time.Minute)
		l.outage(false)
		time.Sleep(time.Minute)
		l.locked(func() { l.lostReplies = 2 })
		out, err := nodes[1].Restore(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		fresh := start(t, l, "fresh", "fresh")
		time.Sleep(time.Minute)
		for _, n := range append(nodes, fresh) {
			o, _ := n.View().Organisation("acme")
			if !n.View().CaughtUp() || o.Revision != out.Revision || o.Revision <= 1 {
				t.Errorf("got caught up %t at revision %d, want %d", n.View().CaughtUp(), o.Revision, out.Revision)
			}
		}
		if _, err := nodes[2].Publish(t.Context(), change("acme", out.Revision, 0.6)); err != nil {
			t.Errorf("got %v from a change after the restore", err)
		}
	})
}

func TestNodeWithAGapServesButAppendsNoSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		l.retention = 30 * time.Second
		n := start(t, l, "n1", "n1")
		synctest.Wait()
		if _, err := n.Publish(t.Context(), change("acme", 0, 0.5)); err != nil {
			t.Fatal(err)
		}
		l.locked(func() { l.readDown = true })
		time.Sleep(time.Second)
		l.locked(func() { l.put([]byte("lost to n1")) })
		time.Sleep(time.Minute)
		l.outage(false)
		time.Sleep(time.Minute)
		o, _ := n.View().Organisation("acme")
		if got, want := n.View().Applied(), provider.Offset(1); got != want {
			t.Errorf("got applied %d at a node with a gap, want %d", got, want)
		}
		if n.View().CaughtUp() || !n.Ready() || o.Revision != 1 {
			t.Errorf("got caught up %t and revision %d, want a gap and revision 1 served", n.View().CaughtUp(), o.Revision)
		}
		if got, want := l.size(), 2; got != want {
			t.Errorf("got %d records, want %d: a snapshot of an incomplete state was appended", got, want)
		}
	})
}
