package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/mapper"
	"banyanquay/internal/registrar"
)

// part is what an endpoint writes of an answer after a while.
type part struct {
	after time.Duration
	text  string
}

// departingEndpoints answer without a length or chunks. The endpoint of the first request after begin leaves: it stops when its answers
// have ended, or is killed amid them.
type departingEndpoints struct {
	mu      sync.Mutex
	begun   bool
	leaving string
	stopped bool
	// parts returns the answer to a request; what it asked for begins behind the event with the number after.
	parts func(f driver.Forward, after int) []part
	// life is how long the endpoint lives before it is killed; 0 if it stops behind its last answer.
	life    time.Duration
	open    int
	sends   map[string]int
	header  http.Header
	status  int
	killed  chan struct{}
	detours bool
	// leave is called with the ID of the endpoint that leaves, when it has got the first request.
	leave func(id string)
}

func newDepartingEndpoints(parts func(driver.Forward, int) []part, life time.Duration) *departingEndpoints {
	return &departingEndpoints{parts: parts, life: life, sends: make(map[string]int), status: http.StatusOK, killed: make(chan struct{})}
}

func (d *departingEndpoints) relay() driver.Relay {
	return driver.Relay{
		Probe: func(_ context.Context, address string) error {
			if d.down(address) {
				return syscall.ECONNREFUSED
			}
			return nil
		},
		Report: func(context.Context, string, string) (driver.Report, error) { return driver.Report{Pace: 1}, nil },
		CutOff: func(string) bool { return d.detours },
		Send:   d.send,
	}
}

// begin makes the endpoint of the next request leave.
func (d *departingEndpoints) begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun = true
}

func (d *departingEndpoints) down(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped && address == d.leaving
}

func (d *departingEndpoints) send(_ context.Context, address string, f driver.Forward) (driver.Reply, error) {
	if d.detours && f.OnDetour != nil {
		f.OnDetour()
	}
	if d.down(address) {
		return driver.Reply{}, &driver.Unsent{Err: syscall.ECONNREFUSED}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sends[f.ID]++
	if d.begun && d.leaving == "" {
		d.leaving = address
		d.leave(strings.TrimSuffix(address, ":1"))
		if d.life > 0 {
			time.AfterFunc(d.life, func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.stopped = true
				close(d.killed)
			})
		}
	}
	after, _ := strconv.Atoi(f.After)
	header := d.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	r, w := io.Pipe()
	leaves := address == d.leaving
	if leaves {
		d.open++
	}
	parts := d.parts(f, after)
	go func() {
		for _, p := range parts {
			select {
			case <-time.After(p.after):
				_, _ = io.WriteString(w, p.text)
				continue
			case <-d.killed:
			}
			if leaves {
				break
			}
			time.Sleep(p.after)
			_, _ = io.WriteString(w, p.text)
		}
		d.mu.Lock()
		if leaves {
			d.open--
			d.stopped = d.stopped || d.open == 0
		}
		d.mu.Unlock()
		_ = w.Close()
	}()
	return driver.Reply{Status: d.status, Signed: true, Header: header, Unframed: true, Body: r}, nil
}

// departures are the ways in which nodes learn that an endpoint leaves.
func departures(w *harness) map[string]func(id string) {
	return map[string]func(id string){
		"draining": func(id string) { w.table = w.table.WithLeaving(id) },
		"removed":  func(id string) { w.table = w.table.With(time.Now(), time.Now(), []registrar.Change{{ID: id}}) },
	}
}

// events returns events that follow each other after an interval.
func events(from, to int, interval time.Duration) []part {
	var all []part
	for n := from; n <= to; n++ {
		all = append(all, part{interval, fmt.Sprintf("id: %d\ndata: x\n\n", n)})
	}
	return all
}

// departureCase is a request whose endpoint leaves.
type departureCase struct {
	path     string
	parts    func(driver.Forward, int) []part
	resumed  string
	header   http.Header
	status   int
	noOthers bool
	noRetry  bool
}

const wholeBooking = "first half, second half"

// departureCases are the ways in which answers without a length are read.
func departureCases() map[string]departureCase {
	booking := func(driver.Forward, int) []part {
		return []part{{10 * time.Millisecond, wholeBooking[:11]}, {1700 * time.Millisecond, wholeBooking[11:]}}
	}
	object := func(driver.Forward, int) []part {
		return []part{{10 * time.Millisecond, `{"booked": `}, {20 * time.Millisecond, `"seat 4"}`}}
	}
	stream := func(_ driver.Forward, after int) []part { return events(after+1, 60, 40*time.Millisecond) }
	failure := func(driver.Forward, int) []part {
		return []part{{10 * time.Millisecond, "no "}, {1700 * time.Millisecond, "such model"}}
	}
	return map[string]departureCase{
		"booking":                        {path: pathPut, parts: booking},
		"booking with JSON":              {path: pathPut, parts: object, header: http.Header{"Content-Type": {"application/json; charset=utf-8"}}},
		"lookup":                         {path: pathGet, parts: booking},
		"lookup, no other endpoint":      {path: pathGet, parts: booking, noOthers: true},
		"lookup, no retry":               {path: pathGet, parts: booking, noRetry: true},
		"stream":                         {path: pathLLM, parts: stream},
		"stream, no other engine":        {path: pathLLM, parts: stream, noOthers: true},
		"stream, no retry":               {path: pathLLM, parts: stream, noRetry: true},
		"resumed stream":                 {path: pathLLM, parts: stream, resumed: "7"},
		"stream that can't be resumed":   {path: "/once/", parts: stream},
		"failure in place of a stream":   {path: pathLLM, parts: failure, status: http.StatusNotFound, noOthers: true},
		"failure, a request that's once": {path: "/once/", parts: failure, status: http.StatusNotFound, noOthers: true},
	}
}

// play sends a request of a case to an endpoint that leaves, and returns what the caller got.
func (c departureCase) play(t *testing.T, d *departingEndpoints, departure string) response {
	entries := plainEntries()
	for _, id := range []string{"e1", "e2"} {
		entries = append(entries, registrar.Entry{
			ID: id, Service: "llm", Address: id + ":1", Centre: "a", Accelerator: "l4", Model: "m", Version: "1", First: 0, Last: 80, Slots: 192,
		})
	}
	if c.noOthers {
		entries = []registrar.Entry{entries[0], entries[2]}
	}
	w := newHarness(t, d.relay(), entries...)
	all := append(routes(), mapper.Route{
		Name: "once", Host: host, Prefix: "/once/", Kind: mapper.Streaming, Attempts: 2,
		Offers: []mapper.WeightedService{{Service: "llm", Weight: 1}}, Timeout: 20 * time.Second, Target: 500 * time.Millisecond,
	})
	for i := range all {
		all[i].Timeout, all[i].Target = 20*time.Second, 10*time.Second
	}
	w.view.Configuration = newConfiguration(all)
	if c.noRetry {
		w.retrySlack = 0
	}
	d.header, d.leave = c.header, departures(w)[departure]
	leave := d.leave
	d.leave = func(id string) {
		w.mu.Lock()
		defer w.mu.Unlock()
		leave(id)
	}
	if c.status != 0 {
		d.status = c.status
	}
	for n := range 3 { // streams of engines that live on
		w.serve(departureRequest(t, http.MethodPost, pathLLM+"1", fmt.Sprint("before", n), "55"))
	}
	w.confirm()
	d.begin()
	method := http.MethodPost
	if c.path == pathGet {
		method = http.MethodGet
	}
	r := departureRequest(t, method, c.path+"1", "r1", c.resumed)
	return w.serve(r)
}

func departureRequest(t *testing.T, method, path, id, after string) *http.Request {
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+host+path, strings.NewReader("800,200"))
	if err != nil {
		t.Fatal(err)
	}
	r.RequestURI = r.URL.RequestURI()
	for name, value := range map[string]string{"ID": id, "Key": secret, "After": after} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r
}

// forEachDeparture runs a test for each case and departure, direct and by way of another node.
func forEachDeparture(t *testing.T, run func(t *testing.T, name string, c departureCase, departure string, detours bool)) {
	for name, c := range departureCases() {
		for _, departure := range []string{"draining", "removed"} {
			for _, detours := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, by way of another node %v", name, departure, detours), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { run(t, name, c, departure, detours) })
				})
			}
		}
	}
}

// whole reports whether a caller got a whole answer of a case, and whether the answer looks complete.
func (c departureCase) whole(a response, parts []part) (whole, complete bool) {
	var want strings.Builder
	for _, p := range parts {
		want.WriteString(p.text)
	}
	complete = !a.aborted && (a.Code == http.StatusOK || a.Code == c.status)
	return complete && a.Body.String() == want.String(), complete
}

// Guards against a part of an answer that is passed on as the whole one since its endpoint had said that it leaves, or was
// no longer listed, and is killed amid the answer.
func TestLeavingEndpointThatIsKilled(t *testing.T) {
	forEachDeparture(t, func(t *testing.T, name string, c departureCase, departure string, detours bool) {
		for _, life := range []time.Duration{630 * time.Millisecond, 1250 * time.Millisecond} {
			if name == "booking with JSON" {
				life = 20 * time.Millisecond
			}
			d := newDepartingEndpoints(c.parts, life)
			d.detours = detours
			a := c.play(t, d, departure)
			after, _ := strconv.Atoi(c.resumed)
			if whole, complete := c.whole(a, c.parts(driver.Forward{}, after)); complete && !whole {
				t.Errorf("killed after %v: got %d with %q, which looks complete", life, a.Code, a.Body)
			}
			again := !c.noOthers && !c.noRetry && (c.path == pathGet || c.path == pathLLM)
			if whole, _ := c.whole(a, c.parts(driver.Forward{}, after)); again && !whole {
				t.Errorf("killed after %v: got %d, aborted %v, with %q, want the whole answer of another endpoint", life, a.Code, a.aborted, a.Body)
			}
			if got, want := d.sends["r1"], 1; !again && got != want {
				t.Errorf("sends: got %d, want %d", got, want)
			}
		}
	})
}

// Guards against the loss of a whole answer of an endpoint that leaves as planned and exits right behind it. On the wire it
// looks like the end of a part.
func TestLeavingEndpointThatExitsBehindItsAnswers(t *testing.T) {
	forEachDeparture(t, func(t *testing.T, name string, c departureCase, departure string, detours bool) {
		d := newDepartingEndpoints(c.parts, 0)
		d.detours = detours
		a := c.play(t, d, departure)
		after, _ := strconv.Atoi(c.resumed)
		if whole, _ := c.whole(a, c.parts(driver.Forward{}, after)); !whole {
			t.Errorf("got %d, aborted %v, with %q, want the whole answer", a.Code, a.aborted, a.Body)
		}
		if got, want := d.sends["r1"], 1; c.path == pathPut && got != want {
			t.Errorf("sends of a request that isn't idempotent: got %d, want %d", got, want)
		}
	})
}

// Guards against parts that are passed on as whole since their endpoint was killed just behind the last bytes that it had written of them: its
// other answers, which broke off in the same moment, show what happened. Answers that end one after the other, the last
// one as the endpoint exits, must not be held for parts.
func TestAnswersOfALeavingEndpointThatEndTogether(t *testing.T) {
	pieces := func(driver.Forward, int) []part {
		var all []part
		for n := range 30 {
			all = append(all, part{60 * time.Millisecond, fmt.Sprint("piece ", n, " ")})
		}
		return all
	}
	halves := departureCases()["booking"].parts
	for name, parts := range map[string]func(driver.Forward, int) []part{"two parts": halves, "many parts": pieces} {
		for _, departure := range []string{"draining", "removed"} {
			for _, life := range []time.Duration{0, 1000 * time.Millisecond, 1013 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s, killed after %v", name, departure, life), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						d := newDepartingEndpoints(parts, life)
						w := newHarness(t, d.relay(), plainEntries()[0])
						all := routes()
						all[2].Timeout = 20 * time.Second
						w.view.Configuration = newConfiguration(all)
						d.leave = func(string) {}
						d.begin()
						time.AfterFunc(900*time.Millisecond, func() {
							w.mu.Lock()
							defer w.mu.Unlock()
							departures(w)[departure]("d1")
						})
						var want strings.Builder
						for _, p := range parts(driver.Forward{}, 0) {
							want.WriteString(p.text)
						}
						var wg sync.WaitGroup
						for n := range 20 {
							wg.Go(func() {
								a := w.serve(departureRequest(t, http.MethodPost, pathPut+"1", fmt.Sprint("r", n), ""))
								whole := a.Code == http.StatusOK && a.Body.String() == want.String()
								if life == 0 && !whole || a.Code == http.StatusOK && !whole {
									t.Errorf("booking %d: got %d with %q", n, a.Code, a.Body)
								}
							})
							time.Sleep(37 * time.Millisecond)
						}
						wg.Wait()
					})
				})
			}
		}
	}
}

// Guards against a request that is quarantined since endpoints that leave stop behind their answers to it, or are killed
// amid them: a planned stop is no crash.
func TestStopsOfLeavingEndpointsAreNoCrashes(t *testing.T) {
	for _, silence := range []time.Duration{0, 500 * time.Millisecond} {
		t.Run(fmt.Sprint("silent for ", silence), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, w := newAnsweringDesk(t, 0)
				w.f.cfg.Relay.Send = func(_ context.Context, address string, _ driver.Forward) (driver.Reply, error) {
					if d.down(address) {
						return driver.Reply{}, &driver.Unsent{Err: syscall.ECONNREFUSED}
					}
					w.mu.Lock()
					id := strings.TrimSuffix(address, ":1")
					e, _ := w.table.Get(id)
					w.table = w.table.WithLeaving(id)
					w.mu.Unlock()
					r, body := io.Pipe()
					go func() {
						_, _ = io.WriteString(body, "ok")
						time.Sleep(silence)
						d.stop(address)
						_ = body.Close()
						time.Sleep(1600 * time.Millisecond)
						e.Born++
						w.mu.Lock()
						defer w.mu.Unlock()
						w.table = w.table.With(time.Now(), time.Now(), []registrar.Change{{ID: id, Entry: &e}})
					}()
					return driver.Reply{Status: http.StatusOK, Signed: true, Header: http.Header{}, Unframed: true, Body: r}, nil
				}
				for n := range 20 {
					w.confirm()
					want := http.StatusOK
					if silence > 0 {
						want = http.StatusBadGateway
					}
					if a := w.send(t.Context(), http.MethodPost, pathPut+"1", fmt.Sprint("r", n), ""); a.Code != want {
						t.Errorf("request %d: got %d, want %d: %s", n, a.Code, want, a.Body)
					}
					time.Sleep(2 * time.Second)
				}
			})
		})
	}
}

// Guards against a text that counts as whole though more of it may have followed, or as cut off though it is whole.
func TestEndOfJSON(t *testing.T) {
	const mediaType = "application/json"
	cases := []struct {
		name, mediaType, body string
		want                  textEnd
	}{
		{"an object", mediaType, ` {"a": [1, "}"]}` + "\n", textWhole},
		{"an array", mediaType, "[1]", textWhole},
		{"a text", mediaType, `"a"`, textWhole},
		{"a part of an object", mediaType, `{"a": [1, "}"]`, textCut},
		{"a part of a text", mediaType, `"a`, textCut},
		{"a number, which a part of it is, too", mediaType, "12", textUnknown},
		{"nothing", mediaType, "", textUnknown},
		{"one of two values", mediaType, `{"a": 1}{"b"`, textUnknown},
		{"no JSON", mediaType, `{a}`, textUnknown},
		{"another type", "text/plain", `{"a": 1`, textUnknown},
	}
	for _, c := range cases {
		if got, want := jsonEnd(c.mediaType, []byte(c.body)), c.want; got != want {
			t.Errorf("%s: got %d, want %d", c.name, got, want)
		}
	}
}
