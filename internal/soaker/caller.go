package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"banyanquay/internal/grouper"
	"banyanquay/internal/soaker/auditor"
	"banyanquay/platform/imitator"
)

const (
	// events are those of each stream, by the sizes that visitors ask for.
	events = 100
	// callTimeout and streamTimeout are how long callers wait.
	callTimeout   = 5 * time.Second
	streamTimeout = 15 * time.Second
	// callPause is the longest pause between two requests of a caller.
	callPause = 300 * time.Millisecond
	// lentShare is the share of requests with the key that is taken away at times.
	lentShare = 0.2
	// idleTime is how long a caller keeps an idle connection: four fifths of what
	// the configuration allows.
	idleTime = 12 * time.Second
)

// call sends requests one after the other, over kept connections, until the context
// ends. It asks at whichever node answers.
func (r *run) call(ctx context.Context, n int) {
	transport := &http.Transport{IdleConnTimeout: idleTime, MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for i := 0; ctx.Err() == nil; i++ {
		v := imitator.Visitor{
			Discovery: r.at(r.live(n), 3), Centre: centres[n%len(centres)], Key: imitator.Key, Client: client,
		}
		if rand.Float64() < lentShare {
			v.Key = lent
		}
		r.ask(v, fmt.Sprintf("%s-c%d-%d", r.name, n, i), auditor.Kind(rand.IntN(int(auditor.Book)+1)))
		grouper.Sleep(ctx, rand.N(callPause))
	}
}

// live is a node that runs, if there is one.
func (r *run) live(n int) int {
	order := rand.Perm(len(r.nodes))
	for _, i := range order {
		if r.nodes[i].Running() {
			return i
		}
	}
	return n % len(r.nodes)
}

// ask sends one request and takes in what came of it. Requests go on after the
// callers have stopped, so that each has an end.
func (r *run) ask(v imitator.Visitor, id string, kind auditor.Kind) {
	seen := auditor.Request{ID: id, Kind: kind, Key: v.Key, Sent: time.Now()}
	if kind == auditor.Stream {
		ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
		defer cancel()
		// An attempt with a key that is away may be followed by one when it is back.
		v.Sent = func(string) { seen.Sent = time.Now() }
		v.Began = func(string) { seen.Began = time.Now() }
		_, err := v.Stream(ctx, id, events)
		seen.Status = http.StatusOK
		if err != nil {
			seen.Status, seen.Err, seen.Torn = 0, err.Error(), errors.Is(err, imitator.ErrTorn)
		}
		r.auditor.Saw(seen)
		return
	}
	method, path := http.MethodGet, "/look/1"
	if kind == auditor.Book {
		method, path = http.MethodPost, "/book/1"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	seen.Want = fmt.Sprintf("%s %s by org: ", method, path)
	status, body, err := v.Call(ctx, method, path, id)
	if err != nil {
		seen.Err = err.Error()
	} else {
		seen.Status, seen.Body = status, body
	}
	r.auditor.Saw(seen)
}
