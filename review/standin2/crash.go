package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crashes is how often a server is killed, unless the rule is broken sooner, and downTime how
	// long it is away.
	crashes  = 6
	downTime = 3 * time.Second
)

// crash kills one of six servers, a share of 0.17, while it writes answers that have no length. It counts the
// successes whose body isn't the server's whole body.
func crash(f *fleet, trouble bool) (bool, error) {
	return f.killAnswering(trouble, "/book/", f.countShort)
}

// crashStream is crash with streams, of which it counts those that end as complete before their
// last event.
func crashStream(f *fleet, trouble bool) (bool, error) {
	return f.killAnswering(trouble, "/stream/", f.countUnfinished)
}

// killAnswering kills one of six servers, a share of 0.17, while it answers requests to a path, until count finds
// an exchange that breaks the rule.
func (f *fleet) killAnswering(trouble bool, path string, count func(*clients) int) (bool, error) {
	if err := f.addSmall(); err != nil {
		return false, err
	}
	f.configure(3, map[string][]string{"hule930": {key}}, []string{"order-desk"},
		route{"book", "/book/", "non_idempotent", "order-desk", 2000, 1000, 1}, route{"stream", "/stream/", "streaming", "order-desk", 20000, 500, 2})
	var all []*child
	defer func() {
		for _, c := range all {
			_ = c.cmd.Process.Kill()
			_ = c.cmd.Wait()
		}
	}()
	for n, zone := range append(zones, zones...) {
		c := &child{server: &server{service: "order-desk", zone: zone, slots: 6, state: "ready", rec: f.rec}, begun: make(map[string]time.Time), ended: make(map[string]bool)}
		c.id = fmt.Sprintf("i-%02dc0ffee", n+1)
		c.address = net.JoinHostPort(f.ip(3, n+1), fmt.Sprint(f.ports.server))
		if err := f.startChild(c); err != nil {
			return false, err
		}
		all = append(all, c)
		go c.publish(f.store)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	if !f.awaitReady(10 * time.Second) {
		return false, fmt.Errorf("the nodes are not ready")
	}
	cl := newClients(f, key)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, zone := range zones {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cl.load(ctx, zone, 6, "POST", path, "eight pallets", 4*time.Second)
		}()
	}
	time.Sleep(4 * time.Second)
	short := 0
	for n := 0; n < crashes && short == 0; n++ {
		c := all[0]
		for end := time.Now().Add(5 * time.Second); c.answering() < 2 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		}
		time.Sleep(4 * lineTime)
		if trouble {
			f.rec.say("server %s is killed while it answers %d requests", c.id, c.answering())
			_ = c.cmd.Process.Kill()
			_ = c.cmd.Wait()
			time.Sleep(downTime)
			c.childMu.Lock()
			clear(c.begun)
			clear(c.ended)
			c.childMu.Unlock()
			if err := f.startChild(c); err != nil {
				return false, err
			}
		}
		time.Sleep(2 * time.Second)
		short = count(cl)
	}
	cancel()
	wg.Wait()
	short = count(cl)
	f.rec.say("%d requests were answered, %d of them with a success that lacks the end of the server's answer", len(cl.exchanges()), short)
	return short > 0, nil
}

// countShort counts the successes that lack a part of the server's answer and look complete.
func (f *fleet) countShort(cl *clients) int {
	short := 0
	for _, x := range cl.exchanges() {
		if x.status != 200 || x.err != nil {
			continue
		}
		var whole strings.Builder
		for n := 1; n <= answerLines; n++ {
			whole.WriteString(answerLine(x.id, n))
		}
		if x.body != whole.String() {
			short++
			f.rec.say("booking %s by %s: 200, signed %v, complete for the client with %d of %d bytes", x.id, x.machine.name, x.signed, len(x.body), whole.Len())
		}
	}
	return short
}

// countUnfinished counts the streams that ended as complete before their last event.
func (f *fleet) countUnfinished(cl *clients) int {
	unfinished := 0
	for _, x := range cl.exchanges() {
		if x.status != 200 || x.err != nil {
			continue
		}
		if events := strings.Count(x.body, "\n\n"); events < streamEvents {
			unfinished++
			f.rec.say("stream %s by %s: 200, signed %v, complete for the client with %d of %d events", x.id, x.machine.name, x.signed, events, streamEvents)
		}
	}
	return unfinished
}
