package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// bookings is how many bookings the client sends with the disruption, or without it.
const bookings = 240

// caseStranger: another writer leaves an entry among those of the servers.
func caseStranger(b *bench, trouble bool) (int, error) {
	zones := []string{"muenchen", "nuernberg", "augsburg"}
	for i, zone := range zones {
		if _, err := b.startServer("i-7f3a91c"+fmt.Sprint(i), zone, "vereinsportal", b.at(31+i, 4), 30*time.Millisecond, nil); err != nil {
			return couldNot, err
		}
	}
	b.configure("vereinsportal")
	// The other writer's own program is no server of the platform: it knows no request of a
	// client, and says so.
	ln, err := net.Listen("tcp", b.at(39, 4))
	if err != nil {
		return couldNot, err
	}
	stranger := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		b.rec.printf("other program: gets %s %s %s (%d bytes), answers 404", r.Method, r.URL.Path, r.Header.Get(names["request"]), len(body))
		http.NotFound(w, r)
	})}
	go stranger.Serve(ln)
	defer stranger.Close()
	if err := b.startNodes(zones...); err != nil {
		return couldNot, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		// Half of the fields of an entry are missing.
		b.store.put(names["servers"], "w-1", fmt.Appendf(nil, `{"service":"vereinsportal","address":%q,"zone":"muenchen","state":"ready"}`, b.at(39, 4)))
		b.rec.printf("disruption: another writer has written an entry in which half of the fields are missing")
	}
	time.Sleep(3 * time.Second)
	var all []outcome
	for k := range bookings {
		all = append(all, b.ask(b.nodes[k%len(b.nodes)], http.MethodPost, "/book/2f", "entry fee", 2500*time.Millisecond))
		time.Sleep(20 * time.Millisecond)
	}
	return b.judgeDenied(all), nil
}

// judgeDenied checks that no more than 5 and one in 500 of the bookings, all of which the
// configuration allows, ended with a 3xx or 4xx that no server gave.
func (b *bench) judgeDenied(all []outcome) int {
	denied, unrun, served := 0, 0, 0
	for _, o := range all {
		switch {
		case o.status == http.StatusOK:
			served++
		case o.status >= 300 && o.status < 500 && !o.promised():
			denied++
			if len(b.runs.of(o.id)) == 0 {
				unrun++
			}
			b.rec.printf("DENIED: %s got %d from %s", o.id, o.status, o.node.name)
		}
	}
	limit := 5 + float64(len(all))/500
	summary := fmt.Sprintf("%d bookings, %d answered with 200, %d ended with a 3xx or 4xx that no server gave, allowed are %.1f; %d of them ran nowhere",
		len(all), served, denied, limit, unrun)
	b.rec.printf("%s", summary)
	fmt.Println(summary)
	if float64(denied) > limit {
		return broken
	}
	return held
}
