package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const drainTime = 2 * time.Second

// playDeparted turns the nodes away for a moment that read the list of servers, each time while a
// server's entry is removed, and looks when requests reach that server last. Nodes that weren't
// turned away must not send it any later than drainTime after the removal.
func playDeparted(f *fleet, trouble bool) int {
	const nodes, servers, rounds = 9, 8, 5
	f.publish(1)
	var live []string
	n := 0
	start := func() error {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return err
		}
		id := fmt.Sprintf("i-b1%02d", n)
		_, err = f.startServer(id, fmt.Sprintf("127.0.0.1:%d", port), "--service", "orders", "--zone", zones[n%len(zones)])
		n++
		live = append(live, id)
		return err
	}
	for range servers {
		if start() != nil {
			return couldNotRun
		}
	}
	if f.startNodes(nodes, "8") != nil || f.awaitReady() != nil {
		return couldNotRun
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	from := make(map[string]int) // the node of each request
	for c := range nodes * 2 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				id := fmt.Sprintf("d%02d%06x", c, i)
				mu.Lock()
				from[id] = c % nodes
				mu.Unlock()
				a := send(f.frontend(c%nodes), request{id: id, method: "POST", path: "/book/2f", body: "b" + id, deadline: 4 * time.Second})
				f.record.say("client sent %s to node %d and got %d %v", id, c%nodes, a.status, a.err)
			}
		})
	}
	result, played := held, 0
	for round := range rounds {
		time.Sleep(3 * time.Second)
		var away []int
		for i, d := range f.doors {
			if d.reads(time.Now().Add(-1500 * time.Millisecond)) {
				away = append(away, i)
			}
		}
		f.record.say("round %d: the list of servers is read by nodes %v", round, away)
		if len(away) > nodes/3 {
			continue // more than the pages turn away
		}
		played++
		gone := live[0]
		live = live[1:]
		f.servers[gone].signal(leaveSilently)
		f.store.put(names["servers"], gone, nil)
		removed := time.Now()
		f.record.say("the entry of server %s is removed; it serves on for 8 s", gone)
		time.Sleep(20 * time.Millisecond)
		for _, i := range away {
			f.doors[i].silent = os.Getenv("MODE") == "silent"
			f.doors[i].turnAway(trouble)
		}
		awayTime := 700 * time.Millisecond
		if d, err := time.ParseDuration(os.Getenv("AWAY")); err == nil {
			awayTime = d
		}
		time.Sleep(awayTime)
		for _, i := range away {
			f.doors[i].turnAway(false)
		}
		f.record.say("nodes %v reach the store again", away)
		time.Sleep(7 * time.Second)
		f.servers[gone].kill()
		late, last := 0, time.Duration(0)
		f.mu.Lock()
		for _, r := range f.runs {
			mu.Lock()
			node := from[r.id]
			mu.Unlock()
			turned := false
			for _, i := range away {
				turned = turned || i == node
			}
			if r.server == gone && !turned {
				last = max(last, r.at.Sub(removed))
				if r.at.Sub(removed) > drainTime {
					late++
				}
			}
		}
		f.mu.Unlock()
		f.record.say("server %s had its last request of a node that was not turned away %v after its removal, %d later than %v", gone, last, late, drainTime)
		if late > 0 {
			f.record.say("BROKEN: DRAIN")
			result = broken
		}
		if start() != nil {
			return couldNotRun
		}
	}
	close(stop)
	wg.Wait()
	if played == 0 {
		return couldNotRun
	}
	return result
}
