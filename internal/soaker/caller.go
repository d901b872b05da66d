package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"banyanquay/internal/grouper"
	"banyanquay/internal/soaker/auditor"
	"banyanquay/platform/imitator"
)

const (
	// eventsPerStream follows from the 200 tokens that callers ask for, 2 in each
	// event.
	eventsPerStream = 100
	// callTimeout and streamTimeout are how long callers wait for an answer or a
	// whole stream.
	callTimeout   = 5 * time.Second
	streamTimeout = 15 * time.Second
	// maxCallPause is the longest pause between two requests of a caller.
	maxCallPause = 300 * time.Millisecond
	// maxBodyBytes is the maximum size of a request's body. chunkedShare is the share of
	// the bodies that are sent in chunks.
	maxBodyBytes = 4 << 10
	chunkedShare = 0.5
	// Slow requests have endpoints that work on them for minWork to maxWork, bodies of
	// slowBodyBytes that are sent within maxSendTime, or both. That is together less
	// than callers wait for them, which is streamTimeout.
	minWork       = time.Second
	maxWork       = 9 * time.Second
	maxSendTime   = 4 * time.Second
	slowBodyBytes = 32 << 10
	// timePerEvent is about the time from one event of a stream to the next.
	timePerEvent = 27 * time.Millisecond
	// revocableShare is the share of requests that use revocableKey.
	revocableShare = 0.2
	// idleTimeout is how long a caller keeps an idle connection: four fifths of the
	// idle timeout in the configuration.
	idleTimeout = 12 * time.Second
)

// runCaller sends requests one after the other, over kept connections, until the
// context ends. It asks any running node for addresses.
func (r *run) runCaller(ctx context.Context, n int) {
	transport := &http.Transport{IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var kept choice
	for i := 0; ctx.Err() == nil; i++ {
		c := imitator.Caller{
			Discovery: r.nodeAddress(r.runningNode(n), 3), Centre: centres[n%len(centres)], Key: imitator.Key, Client: client,
		}
		if rand.Float64() < revocableShare {
			c.Key = revocableKey
		}
		c.Body, c.Chunked = strings.Repeat("x", rand.IntN(maxBodyBytes)), rand.Float64() < chunkedShare
		var work time.Duration
		if rand.Float64() < r.cfg.SlowShare {
			work = minWork + rand.N(maxWork-minWork)
		}
		if rand.Float64() < r.cfg.SlowShare {
			c.Body, c.SendTime = strings.Repeat("x", slowBodyBytes), rand.N(maxSendTime)
		}
		c.Choose = func(ctx context.Context) (string, error) { return r.choose(ctx, c, &kept, policy(n%policies)) }
		r.sendRequest(c, fmt.Sprintf("%s-c%d-%d", r.idPrefix, n, i), auditor.Kind(rand.IntN(int(auditor.NonIdempotent)+1)), work)
		grouper.Sleep(ctx, rand.N(maxCallPause))
	}
}

// runningNode returns a random running node, if there is one.
func (r *run) runningNode(n int) int {
	order := rand.Perm(len(r.nodes))
	for _, i := range order {
		if r.nodes[i].Running() {
			return i
		}
	}
	return n % len(r.nodes)
}

// sendRequest sends one request, on which an endpoint works for some time, and records its
// outcome. Requests go on after the callers have stopped, so that each has an outcome.
func (r *run) sendRequest(c imitator.Caller, id string, kind auditor.Kind, work time.Duration) {
	c.OnEnd = func(e imitator.Exchange) { r.auditor.RecordExchange(auditor.Exchange{Kind: kind, Exchange: e}) }
	result := auditor.Request{ID: id, Kind: kind, Key: c.Key, Sent: time.Now()}
	if kind == auditor.Stream {
		ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
		defer cancel()
		// The key may be restored between two attempts: only the last one's time
		// counts.
		c.OnSend = func(string) { result.Sent = time.Now() }
		c.OnFirstEvent = func(string) { result.FirstEvent = time.Now() }
		_, err := c.Stream(ctx, id, max(eventsPerStream, int(work/timePerEvent)))
		result.Status = http.StatusOK
		if err != nil {
			result.Status, result.Err, result.Corrupt = 0, err.Error(), errors.Is(err, imitator.ErrCorruptStream)
		}
		r.auditor.Record(result)
		return
	}
	method, path, body := http.MethodGet, "/look/1", ""
	if kind == auditor.NonIdempotent {
		method, path, body = http.MethodPost, "/book/1", c.Body
	}
	timeout := callTimeout
	if work > 0 || c.SendTime > 0 {
		timeout = streamTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	result.Want = fmt.Sprintf("%s %s by org: %s", method, path, body)
	if work > 0 {
		path += fmt.Sprintf("?%s=%v", imitator.WorkParameter, work)
	}
	status, answer, err := c.Call(ctx, method, path, id)
	if err != nil {
		result.Err = err.Error()
	} else {
		result.Status, result.Body = status, answer
	}
	r.auditor.Record(result)
}
