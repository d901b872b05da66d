package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the site's pages.
const (
	drainBound = 2 * time.Second
	cutTime    = 5500 * time.Millisecond
	// lingerTime is how long the server that leaves serves beyond drainBound.
	lingerTime = 4 * time.Second
)

// caseReturningReader: the node that reads the store for its zone is partitioned from the
// store, and a server leaves meanwhile.
func caseReturningReader(b *bench, trouble bool) (int, error) {
	for i, zone := range []string{"muenchen", "muenchen", "muenchen"} {
		if _, err := b.startServer("i-7f3a91c"+fmt.Sprint(i), zone, "vereinsportal", b.at(31+i, 4), 60*time.Millisecond, nil); err != nil {
			return couldNot, err
		}
	}
	b.configure("vereinsportal")
	if err := b.startNodes("muenchen", "muenchen", "muenchen", "nuernberg"); err != nil {
		return couldNot, err
	}
	time.Sleep(5 * time.Second)
	reader, err := b.findReader()
	if err != nil {
		return couldNot, err
	}
	b.rec.printf("node %s reads the store for its zone", reader.name)
	stop := make(chan struct{})
	results := b.bookAll(stop)
	time.Sleep(2 * time.Second)
	if trouble {
		reader.access.cut.Store(true)
		b.rec.printf("disruption: node %s is partitioned from the store", reader.name)
	}
	time.Sleep(2 * time.Second)
	leaver := b.servers[0]
	left := b.rec.now()
	leaver.leave()
	time.Sleep(cutTime - 2*time.Second)
	if trouble {
		reader.access.cut.Store(false)
		b.rec.printf("disruption: the partition of node %s has ended", reader.name)
	}
	time.Sleep(time.Until(b.rec.began.Add(left + drainBound + lingerTime)))
	leaver.exit()
	time.Sleep(4 * time.Second)
	close(stop)
	all := results()
	return b.judgeDrain(all, reader, leaver, left), nil
}

// findReader returns the node that reads the entries of servers for the first zone.
func (b *bench) findReader() (*node, error) {
	before := make([]int64, len(b.nodes))
	for i, n := range b.nodes {
		before[i] = n.access.endpointReads.Load()
	}
	time.Sleep(3 * time.Second)
	var reader *node
	for i, n := range b.nodes {
		if n.zone == b.nodes[0].zone && n.access.endpointReads.Load()-before[i] >= 3 {
			if reader != nil {
				return nil, fmt.Errorf("%s and %s both read the store", reader.name, n.name)
			}
			reader = n
		}
	}
	if reader == nil {
		return nil, fmt.Errorf("no node reads the store")
	}
	return reader, nil
}

// bookAll sends bookings to the nodes of the first zone in turn until stop is closed. The
// returned function waits for their answers.
func (b *bench) bookAll(stop chan struct{}) func() []outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []outcome
	wg.Go(func() {
		tick := time.NewTicker(60 * time.Millisecond)
		defer tick.Stop()
		for k := 0; ; k++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			n := b.nodes[k%3]
			wg.Go(func() {
				o := b.ask(n, http.MethodPost, "/book/2f", "entry fee", 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				all = append(all, o)
			})
		}
	})
	return func() []outcome {
		wg.Wait()
		return all
	}
}

// judgeDrain checks that no booking that a node in touch took reached the server later than
// drainBound after its entry was removed. The reader isn't counted: it isn't in touch.
func (b *bench) judgeDrain(all []outcome, reader *node, leaver *server, left time.Duration) int {
	late, lost, served := 0, 0, 0
	for _, o := range all {
		if o.status == http.StatusOK {
			served++
		}
		for _, r := range b.runs.of(o.id) {
			if r.server != leaver.id || o.node == reader || r.at <= left+drainBound {
				continue
			}
			late++
			b.rec.printf("DRAIN: %s, taken by %s, reached server %s %.3f s after its entry was removed", o.id, o.node.name, leaver.id, (r.at - left).Seconds())
			if o.status != http.StatusOK {
				lost++
				b.rec.printf("LOST: %s was running when the server exited, and got %d (%v)", o.id, o.status, o.err)
			}
		}
	}
	summary := fmt.Sprintf("%d bookings, %d answered with 200, %d reached the server later than the bound, %d of them without an answer of it",
		len(all), served, late, lost)
	b.rec.printf("%s", summary)
	fmt.Println(summary)
	if late > 0 {
		return broken
	}
	return held
}
