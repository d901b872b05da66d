package main

import (
	"fmt"
	"sync"
	"time"
)

// engines starts engines of the streaming service and returns their IDs and addresses.
func (f *fleet) startEngines(count int, args ...string) (ids, addresses []string, err error) {
	for i := range count {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return nil, nil, err
		}
		id, address := fmt.Sprintf("i-%04x", 0xa100+i), fmt.Sprintf("127.0.0.1:%d", port)
		ids, addresses = append(ids, id), append(addresses, address)
		if _, err := f.startServer(id, address, f.engineArgs(i, args...)...); err != nil {
			return nil, nil, err
		}
	}
	return ids, addresses, nil
}

func (f *fleet) engineArgs(i int, args ...string) []string {
	return append([]string{"--service", "desk", "--zone", zones[i%len(zones)], "--engine"}, args...)
}

// streams are streams in progress, each by one client at a node.
type streams struct {
	f       *fleet
	wg      sync.WaitGroup
	ids     []string
	nodes   []int
	answers []answer
}

// startStreams starts streams one after the other, spread over nodes.
func (f *fleet) startStreams(count int, gap time.Duration, nodes ...int) *streams {
	s := &streams{f: f, answers: make([]answer, count)}
	for i := range count {
		node := nodes[i%len(nodes)]
		q := request{id: fmt.Sprintf("9c41d07be2a3%04x", i), method: "POST", path: "/stream/2f", body: fmt.Sprintf("prompt %d", i), deadline: 20 * time.Second, header: []string{
			"X-Model: m0", names["tokens"] + ": 800,364", fmt.Sprintf(names["prefix"]+": 5c1e07a2:40,%08x:760", i), "Content-Type: application/json",
		}}
		s.ids, s.nodes = append(s.ids, q.id), append(s.nodes, node)
		s.wg.Go(func() {
			f.record.say("client sends %s to node %d", q.id, node)
			a := send(f.frontend(node), q)
			f.record.say("client got of %s: status %d, signed %v, %d events, complete %v, gap %v, longest pause %v, error %v",
				q.id, a.status, a.signed, a.last, a.complete, a.gap, a.longest, a.err)
			s.answers[i] = a
		})
		time.Sleep(gap)
	}
	return s
}

// busiest returns the server with the most streams of a node, or of all nodes if node is negative.
func (s *streams) busiest(node int, servers []string) string {
	count := make(map[string]int)
	for i, id := range s.ids {
		for _, r := range s.f.runsOf(id) {
			if node < 0 || s.nodes[i] == node {
				count[r.server]++
			}
		}
	}
	chosen := servers[0]
	for _, id := range servers {
		if count[id] > count[chosen] {
			chosen = id
		}
	}
	s.f.record.say("server %s has %d of these streams", chosen, count[chosen])
	return chosen
}

// check waits for the answers and holds them to the rule ORDER.
func (s *streams) check(events int, trouble bool) int {
	s.wg.Wait()
	result, whole := held, 0
	for i, a := range s.answers {
		switch {
		case a.status == 200 && a.complete && a.last < events:
			s.f.record.say("BROKEN: ORDER: stream %s ended as complete after event %d of %d", s.ids[i], a.last, events)
			result = broken
		case a.status == 200 && a.gap:
			s.f.record.say("BROKEN: ORDER: stream %s has a gap or an event twice", s.ids[i])
			result = broken
		case a.complete && a.last == events:
			whole++
		}
	}
	s.f.record.say("%d of %d streams were whole", whole, len(s.ids))
	if !trouble && whole < len(s.ids) {
		return couldNotRun
	}
	return result
}
