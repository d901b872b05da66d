package main

import (
	"slices"
	"strconv"
	"syscall"
	"time"
)

// playFrozen freezes one of seven nodes for 1.5 s while one of six engines crashes and starts again
// after 0.8 s. The engines' streams have no length. A stream that was cut off must not look complete.
func playFrozen(f *fleet, trouble bool) int {
	const events, engines, count = 70, 6, 24
	f.publish(1)
	args := []string{"--unframed", "--events", strconv.Itoa(events)}
	ids, addresses, err := f.startEngines(engines, args...)
	if err != nil || f.startNodes(7, "8") != nil || f.awaitReady() != nil {
		return couldNotRun
	}
	time.Sleep(6 * time.Second) // the engines load their layers
	s := f.startStreams(count, 40*time.Millisecond, 0, 1, 2)
	if trouble {
		node := f.nodes[0]
		chosen := s.busiest(0, ids)
		f.record.say("machine of node 0 freezes")
		node.signal(syscall.SIGSTOP)
		time.Sleep(200 * time.Millisecond)
		f.record.say("server %s crashes", chosen)
		f.servers[chosen].kill()
		time.Sleep(800 * time.Millisecond)
		f.record.say("server %s starts again", chosen)
		i := slices.Index(ids, chosen)
		if _, err := f.startServer(chosen, addresses[i], f.engineArgs(i, args...)...); err != nil {
			return couldNotRun
		}
		time.Sleep(500 * time.Millisecond)
		f.record.say("machine of node 0 wakes")
		node.signal(syscall.SIGCONT)
	}
	return s.check(events, trouble)
}
