package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// playLeaving lets one of four engines leave at short notice while it answers streams whose end is
// marked by that of their connection alone: it says that it drains, and is gone two seconds later.
// A stream that is cut off then must not look complete.
func playLeaving(f *fleet, trouble bool) int {
	const events, engines, streams = 70, 4, 24
	f.publish(1)
	var ids []string
	for i := range engines {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return couldNotRun
		}
		id := fmt.Sprintf("i-%04x", 0xa100+i)
		ids = append(ids, id)
		if _, err := f.startServer(id, fmt.Sprintf("127.0.0.1:%d", port), "--service", "desk", "--zone", zones[i%len(zones)],
			"--engine", "--unframed", "--events", fmt.Sprint(events)); err != nil {
			return couldNotRun
		}
	}
	if f.startNodes(3, "8") != nil || f.awaitReady() != nil {
		return couldNotRun
	}
	time.Sleep(6 * time.Second) // the engines load their layers
	var wg sync.WaitGroup
	answers := make([]answer, streams)
	name := func(i int) string { return fmt.Sprintf("9c41d07be2a3%04x", i) }
	for i := range streams {
		wg.Go(func() {
			q := request{id: name(i), method: "POST", path: "/stream/2f", body: "prompt", deadline: 20 * time.Second, header: []string{
				"X-Model: m0", "X-Token-Usage: 800,364", fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:40,%08x:760", i), "Content-Type: application/json"}}
			f.record.say("client sends %s to node %d", q.id, i%3)
			a := send(f.frontend(i%3), q)
			f.record.say("client got of %s: status %d, signed %v, %d events, complete %v, gap %v, longest pause %v, error %v",
				q.id, a.status, a.signed, a.last, a.complete, a.gap, a.longest, a.err)
			answers[i] = a
		})
		time.Sleep(40 * time.Millisecond)
	}
	if trouble {
		// The engine with the most streams is one that an operator takes away.
		count := make(map[string]int)
		for i := range streams {
			for _, r := range f.runsOf(name(i)) {
				count[r.server]++
			}
		}
		chosen := ids[0]
		for _, id := range ids {
			if count[id] > count[chosen] {
				chosen = id
			}
		}
		p := f.servers[chosen]
		if os.Getenv("NOTICE") != "0" { // without it, a crash, for comparison
			f.record.say("operator: server %s gets its notice, with %d streams", chosen, count[chosen])
			p.signal(syscall.SIGUSR1)
		}
		time.Sleep(2 * time.Second)
		f.record.say("operator: server %s is gone", chosen)
		p.kill()
		f.store.put("keyed.servers", chosen, nil)
	}
	wg.Wait()
	result := held
	whole := 0
	for i, a := range answers {
		switch {
		case a.status == 200 && a.complete && a.last < events:
			f.record.say("BROKEN: ORDER: stream %s ended as complete after event %d of %d", name(i), a.last, events)
			result = broken
		case a.status == 200 && a.gap:
			f.record.say("BROKEN: ORDER: stream %s has a gap or an event twice", name(i))
			result = broken
		case a.complete && a.last == events:
			whole++
		}
	}
	f.record.say("%d of %d streams were whole", whole, streams)
	if !trouble && whole < streams {
		return couldNotRun
	}
	return result
}
