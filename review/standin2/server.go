package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a server.
const heartbeat = 1200 * time.Millisecond

// server is one server of a plain service.
type server struct {
	id      string
	service string
	address string
	zone    string
	slots   int
	work    time.Duration
	born    int64
	rec     *record
	// handle, if set, answers a request that the server runs, in place of the usual answer.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)

	mu   sync.Mutex
	seq  int
	gone bool
	// state is what the server says of itself.
	state string
	runs  []run
	http  *http.Server
}

// run is a request that a server began to run.
type run struct {
	id     string
	tenant string
	at     time.Time
}

// start listens and serves.
func (v *server) start(ln net.Listener) {
	v.born, v.state = time.Now().UnixMilli(), "ready"
	v.http = &http.Server{Handler: http.HandlerFunc(v.serve)}
	go func() { _ = v.http.Serve(ln) }()
}

// entry returns the record that the server publishes.
func (v *server) entry() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seq++
	data, err := json.Marshal(map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": "v1", "slots": v.slots,
		"state": v.state, names.ColdRemaining: 0, "seq": v.seq, "born": v.born,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// publish writes the server's entry at each heartbeat until it is gone.
func (v *server) publish(s *store) {
	for {
		v.mu.Lock()
		gone := v.gone
		v.mu.Unlock()
		if gone {
			return
		}
		s.put(names.Servers, v.id, v.entry())
		time.Sleep(heartbeat)
	}
}

// leave removes the server's entry, without a draining one before. The server serves on. It
// returns when the store accepted that.
func (v *server) leave(s *store) time.Time {
	v.mu.Lock()
	v.gone = true
	v.mu.Unlock()
	time.Sleep(20 * time.Millisecond) // an entry that is being written
	return s.put(names.Servers, v.id, nil)
}

// serve answers a request.
func (v *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(names.RequestID)
	if id != "" {
		w.Header().Set(names.RequestID, id)
	}
	if want := r.Header.Get(names.Expect); want != "" && want != v.id {
		w.Header().Set(names.Instance, v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(names.Instance, v.id)
		return
	}
	v.mu.Lock()
	v.runs = append(v.runs, run{id: id, tenant: r.Header.Get(names.Tenant), at: time.Now()})
	v.mu.Unlock()
	v.rec.line("server %s runs %s %s of %s", v.id, r.Method, r.URL.RequestURI(), id)
	if v.handle != nil {
		v.handle(w, r, body)
		return
	}
	select {
	case <-time.After(v.work):
	case <-r.Context().Done():
		return
	}
	answer := fmt.Sprintf("%s %s by %s for %s: %d bytes\n", r.Method, r.URL.RequestURI(), v.id, id, len(body))
	w.Header().Set(names.Signature, "sig."+v.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// allRuns returns the requests that the server began to run.
func (v *server) allRuns() []run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]run(nil), v.runs...)
}
