package main

import (
	"fmt"
	"time"
)

// playPath sends requests whose paths have characters that clients send as they are, and compares
// them with those that servers got.
func playPath(f *fleet, trouble bool) int {
	f.publish(1)
	for i := range 3 {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return couldNotRun
		}
		if _, err := f.startServer(fmt.Sprintf("i-b10%d", i), fmt.Sprintf("127.0.0.1:%d", port), "--service", "orders", "--zone", zones[i]); err != nil {
			return couldNotRun
		}
	}
	if f.startNodes(3, "8") != nil || f.awaitReady() != nil {
		return couldNotRun
	}
	time.Sleep(2 * time.Second)
	paths := []string{"/look/2f", "/look/a/b", "/look/%C3%BC%7C", "/look/2f?lot=a|b"}
	if trouble {
		paths = append(paths, "/look/lot|7", "/look/N\xc3\xbcrnberg", "/look/{sku}", "/look/m^2")
	}
	result, arrived := held, 0
	for i, path := range paths {
		id := fmt.Sprintf("9c41d07be2a4%04x", i)
		f.record.say("client sends %s GET %q to node %d", id, path, i%3)
		a := send(f.frontend(i%3), request{id: id, method: "GET", path: path, deadline: 4 * time.Second})
		f.record.say("client got of %s: status %d, signed %v, %q, error %v", id, a.status, a.signed, a.body, a.err)
		time.Sleep(50 * time.Millisecond)
		for _, r := range f.runsOf(id) {
			arrived++
			if got, want := r.after, "GET "+path; got != want {
				f.record.say("BROKEN: UNASKED: server %s ran %q instead of %q", r.server, got, want)
				result = broken
			}
		}
	}
	if arrived < 4 {
		return couldNotRun
	}
	return result
}
