package main

import (
	"os"
	"strconv"
	"syscall"
	"time"
)

// playLeaving lets one of four engines leave at short notice while it answers streams whose end is
// marked by that of their connection alone: it says that it drains, and is gone two seconds later.
// A stream that is cut off then must not look complete.
func playLeaving(f *fleet, trouble bool) int {
	const events, engines, count = 70, 4, 24
	f.publish(1)
	ids, _, err := f.startEngines(engines, "--unframed", "--events", strconv.Itoa(events))
	if err != nil || f.startNodes(3, "8") != nil || f.awaitReady() != nil {
		return couldNotRun
	}
	time.Sleep(6 * time.Second) // the engines load their layers
	s := f.startStreams(count, 40*time.Millisecond, 0, 1, 2)
	if trouble {
		chosen := s.busiest(-1, ids)
		p := f.servers[chosen]
		if os.Getenv("NOTICE") != "0" { // without it, a crash, for comparison
			f.record.say("operator: server %s gets its notice", chosen)
			p.signal(syscall.SIGUSR1)
		}
		time.Sleep(2 * time.Second)
		f.record.say("operator: server %s is gone", chosen)
		p.kill()
		f.store.put(names["servers"], chosen, nil)
	}
	return s.check(events, trouble)
}
