package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxItems bounds the records of one page of the newest records.
const maxItems = 500

// mode is how the store treats the calls of one machine.
type mode int

// Modes.
const (
	serving mode = iota
	// silent answers nothing.
	silent
	// busy answers 503.
	busy
	// resetting resets the connection.
	resetting
)

// store is the platform's store: keyed topics of one partition. Each machine calls it at an
// address of its own, so that it can turn single machines away.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	modes  map[int]mode
	// calls counts the reads of each topic by machine.
	calls map[string]map[int]int
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// topic holds the records of one topic.
type topic struct {
	records [][]byte
	newest  map[string]item
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func newStore() *store {
	return &store{
		topics: make(map[string]*topic), modes: make(map[int]mode),
		calls: make(map[string]map[int]int), appended: make(chan struct{}),
	}
}

// set changes how the calls of a machine are treated.
func (s *store) set(machine int, m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[machine] = m
}

// reads returns how often each machine has read a topic.
func (s *store) reads(name string) map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[int]int)
	for machine, n := range s.calls[name] {
		all[machine] = n
	}
	return all
}

// topic returns a topic, which its first use creates. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]item)}
		s.topics[name] = t
	}
	return t
}

// put appends a record of a key, without a value one that drops the key, and returns when it
// was accepted.
func (s *store) put(name, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.append(name, record)
	return time.Now()
}

// append adds a record and returns its offset. The caller holds mu.
func (s *store) append(name string, record []byte) int {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, record)
	n := int(record[0])
	key, value := string(record[1:1+n]), record[1+n:]
	t.newest[key] = item{Key: key, Value: value, Offset: offset}
	if len(value) == 0 {
		delete(t.newest, key)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// listen serves a machine's calls at an address.
func (s *store) listen(machine int, ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names.Append, s.serveAppend)
	mux.HandleFunc("GET "+names.Read, s.serveRead)
	mux.HandleFunc("GET "+names.Newest, s.serveNewest)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body) // also lets the end of the connection be noticed
		if err != nil {
			return
		}
		s.mu.Lock()
		m, name := s.modes[machine], r.URL.Query().Get("topic")
		if s.calls[name] == nil {
			s.calls[name] = make(map[int]int)
		}
		s.calls[name][machine]++
		s.mu.Unlock()
		switch m {
		case silent:
			<-r.Context().Done()
			return
		case resetting:
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
			return
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(storeDelay)
		r.Body = io.NopCloser(&reader{body})
		next := &turned{ResponseWriter: w, machine: machine, s: s}
		mux.ServeHTTP(next, r)
	})
	go func() { _ = http.Serve(ln, handler) }()
}

// reader reads a body that has been read already.
type reader struct{ rest []byte }

// Read reads from the body.
func (r *reader) Read(buf []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(buf, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// turned is the answer to a call, which is lost if the machine is turned away in silence
// meanwhile.
type turned struct {
	http.ResponseWriter
	machine int
	s       *store
}

// Unwrap returns the writer of the connection.
func (t *turned) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// lost reports whether the answer to a call that waited is lost.
func (s *store) lost(w http.ResponseWriter, r *http.Request) bool {
	t, ok := w.(*turned)
	if !ok {
		return false
	}
	s.mu.Lock()
	m := s.modes[t.machine]
	s.mu.Unlock()
	if m == silent {
		<-r.Context().Done()
		return true
	}
	return false
}

// serveAppend appends the records of a call.
func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var records [][]byte
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	first := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(first) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": first})
		return
	}
	for _, record := range records {
		s.append(q.Get("topic"), record)
	}
	end := len(t.records)
	s.mu.Unlock()
	if s.lost(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end": end})
}

// serveRead answers with the records from an offset on, as soon as there are any.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		s.mu.Lock()
		t, appended := s.topic(q.Get("topic")), s.appended
		end := len(t.records)
		var records [][]byte
		if from < end {
			records = slices.Clone(t.records[from:])
		}
		s.mu.Unlock()
		if len(records) > 0 || expired {
			if s.lost(w, r) {
				return
			}
			data := binary.BigEndian.AppendUint64(nil, uint64(end))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range records {
				data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
				data = append(data, record...)
			}
			_, _ = w.Write(data)
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveNewest answers with the newest record of each key, in the keys' order.
func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	var page struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int    `json:"end"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	page.End = len(t.records)
	var keys []string
	for key := range t.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page.More = len(keys) > maxItems
	page.Items = make([]item, 0, len(keys))
	for _, key := range keys[:min(len(keys), maxItems)] {
		page.Items = append(page.Items, t.newest[key])
	}
	s.mu.Unlock()
	if s.lost(w, r) {
		return
	}
	writeJSON(w, http.StatusOK, page)
}

// writeJSON writes an answer with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
