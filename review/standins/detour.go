package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseDetour: the first packet from a node to a server is lost, while the other nodes reach
// that server.
func caseDetour(b *bench, trouble bool) (int, error) {
	// A sound server may send bytes above 127 in the value of a header (RFC 9110, 5.5);
	// this one names a file in ISO 8859-1.
	header := http.Header{"Content-Disposition": {"inline; filename=\"Best\xe4tigung.txt\""}}
	zones := []string{"muenchen", "nuernberg", "augsburg"}
	for i, zone := range zones {
		if _, err := b.startServer("i-7f3a91c"+fmt.Sprint(i), zone, "vereinsportal", b.at(31+i, 4), 30*time.Millisecond, header); err != nil {
			return couldNot, err
		}
	}
	b.configure("vereinsportal")
	if err := b.startNodes(append(zones, zones[0])...); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	var all []outcome
	book := func(n *node) outcome {
		o := b.ask(n, http.MethodPost, "/book/2f", "entry fee", 2500*time.Millisecond)
		all = append(all, o)
		return o
	}
	for range 3 {
		for _, n := range b.nodes {
			if o := book(n); o.status != http.StatusOK {
				return couldNot, fmt.Errorf("without a disruption, a booking got %d (%v)", o.status, o.err)
			}
		}
	}
	for k := range 8 {
		n, near := b.nodes[k%len(b.nodes)], b.servers[k%len(b.nodes)%len(zones)]
		var resumed chan struct{}
		if trouble {
			near.ln.fill()
			b.rec.printf("disruption: opening packets to server %s are lost for 20 ms", near.id)
			resumed = make(chan struct{})
			time.AfterFunc(20*time.Millisecond, func() {
				near.ln.drain()
				close(resumed)
			})
		}
		o := book(n)
		if trouble {
			<-resumed
		}
		if o.promised() { // the client believes it and asks again, once
			time.Sleep(min(o.retry, 700*time.Millisecond))
			book(n)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return b.judgeOnce(all), nil
}

// judgeOnce checks that no booking ran more than once, and none that was answered with a
// promise not to have run.
func (b *bench) judgeOnce(all []outcome) int {
	twice, refused, served := 0, 0, 0
	for _, o := range all {
		n := len(b.runs.of(o.id))
		if n > 1 {
			twice++
			b.rec.printf("TWICE: %s ran %d times: %v", o.id, n, b.runs.of(o.id))
		}
		if o.promised() && n > 0 {
			refused++
			b.rec.printf("REFUSED: %s was answered with %d and ran %d times", o.id, o.status, n)
		}
		if o.status == http.StatusOK {
			served++
		}
	}
	summary := fmt.Sprintf("%d bookings, %d answered with 200, %d ran more than once, %d ran although refused", len(all), served, twice, refused)
	b.rec.printf("%s", summary)
	fmt.Println(summary)
	if twice+refused > 0 {
		return broken
	}
	return held
}
