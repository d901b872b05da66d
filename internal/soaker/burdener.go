package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"banyanquay/internal/grouper"
	"banyanquay/internal/soaker/auditor"
	"banyanquay/internal/soaker/scheduler"
	"banyanquay/platform/imitator"
)

// heldBodyBytes is the size of a body that is held: the limit of the site's configuration.
const heldBodyBytes = 1 << 20

// forms are the forms of answers without an end that are drawn.
var forms = [scheduler.Forms]imitator.Form{
	imitator.EndlessBody, imitator.EndlessChunks, imitator.EndlessHeaders, imitator.EndlessHeader, imitator.EndlessEvent, imitator.EndlessReports,
}

// injectEndless makes a share of the endpoints answer without an end, if drawn beside a crowd of
// callers that all send to one node.
func (r *run) injectEndless(ctx context.Context, f scheduler.Fault) {
	for _, p := range r.shareOf(f) {
		if f.Form != int(imitator.EndlessReports) {
			defer r.auditor.AnswerUnsoundly(p.Address())()
		}
		defer r.site.AnswerEndlessly(forms[f.Form], p.Address())()
	}
	crowdCtx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	frontend := r.nodeAddress(f.Target%len(r.nodes), 1)
	for n := range f.Callers {
		c := imitator.Caller{Frontend: frontend, Key: imitator.Key}
		r.crowd.Go(func() {
			for i, ok := 0, true; ok; i, ok = i+1, grouper.Sleep(crowdCtx, rand.N(maxCallPause)) {
				if !r.runs(frontend) {
					continue // refused connections would be most of the run's requests
				}
				id := fmt.Sprintf("%s-crowd%d-%d-%d", r.idPrefix, f.At.Milliseconds(), n, i)
				r.sendRequest(c, id, auditor.Kind(rand.IntN(int(auditor.NonIdempotent)+1)), 0)
			}
		})
	}
	grouper.Sleep(ctx, f.Duration)
}

// breakages are the ways in which answers are broken that are drawn.
var breakages = [scheduler.Breakages]imitator.Breakage{
	imitator.BrokenStatus, imitator.BrokenName, imitator.BrokenLength, imitator.BrokenEncoding, imitator.BrokenUpload,
}

// injectBroken makes a share of the endpoints break their answers.
func (r *run) injectBroken(ctx context.Context, f scheduler.Fault) {
	for _, p := range r.shareOf(f) {
		defer r.auditor.AnswerUnsoundly(p.Address())()
		defer r.site.BreakAnswers(breakages[f.Form], p.Address())()
	}
	grouper.Sleep(ctx, f.Duration)
}

// injectSlowBodies makes callers send bodies to one node, in small parts in the first half of
// the fault, and hold them without their last part until its end. They then close their
// connections: no request is sent as a whole, and nothing is recorded of them.
func (r *run) injectSlowBodies(ctx context.Context, f scheduler.Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	body := strings.Repeat("x", heldBodyBytes)
	var callers sync.WaitGroup
	for n := range f.Callers {
		c := imitator.Caller{
			Frontend: r.nodeAddress(f.Target%len(r.nodes), 1), Key: imitator.Key,
			Body: body, Chunked: n%2 == 0, SendTime: f.Duration / 2, Hold: f.Duration,
		}
		callers.Go(func() {
			// A node may refuse the request; the caller then sends another until the end.
			for attempt, ok := 0, true; ok; attempt, ok = attempt+1, grouper.Sleep(ctx, time.Second) {
				_, _, _ = c.Call(ctx, http.MethodPost, "/book/1", fmt.Sprintf("%s-held%d-%d-%d", r.idPrefix, f.At.Milliseconds(), n, attempt))
			}
		})
	}
	callers.Wait()
}
