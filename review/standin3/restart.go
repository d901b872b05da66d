package main

import (
	"slices"
	"strconv"
	"time"
)

// playRestart lets one of six engines crash while it answers streams without a length, and takes it up
// again at once: its successor is ready, and begins when the address is free. A stream that was cut off
// must not look complete.
func playRestart(f *fleet, trouble bool) int {
	const events, engines, count = 70, 6, 36
	f.publish(1)
	args := []string{"--unframed", "--events", strconv.Itoa(events)}
	ids, addresses, err := f.startEngines(engines, args...)
	if err != nil || f.startNodes(3, "8") != nil || f.awaitReady() != nil {
		return couldNotRun
	}
	time.Sleep(6 * time.Second) // the engines load their layers
	s := f.startStreams(count, 30*time.Millisecond, 0, 1, 2)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		chosen := s.busiest(-1, ids)
		i := slices.Index(ids, chosen)
		// Each start of a server mostly has a new ID.
		if _, err := f.startServer("i-a2ff", addresses[i], f.engineArgs(i, append(args, "--await")...)...); err != nil {
			return couldNotRun
		}
		time.Sleep(300 * time.Millisecond)
		f.record.say("server %s crashes; i-a2ff takes its place as soon as its address is free", chosen)
		f.servers[chosen].kill()
	}
	return s.check(events, trouble)
}
