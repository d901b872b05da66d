package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store in memory, as the pages describe it: topics with one
// partition each, and the newest record of each key of a keyed topic. Stand-ins of the platform
// and of servers write through put.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	grown  chan struct{} // closed and replaced at each append
}

type topic struct {
	records [][]byte
	newest  map[string]int // offset of the newest record of each key
	order   []string
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), grown: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends a record. The caller holds s.mu.
func (s *store) add(name string, record []byte) int {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, record)
	if n := int(record[0]); len(record) >= 1+n {
		key := string(record[1 : 1+n])
		if _, known := t.newest[key]; !known {
			t.order = append(t.order, key)
		}
		t.newest[key] = offset
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// door is a node's way to the store. It tells which nodes read the list of servers, and may turn
// its node away.
type door struct {
	store *store
	mu    sync.Mutex
	away  bool
	// silent is set if a node that is turned away gets no answer, else it gets 503.
	silent bool
	// listed is when the node last read the list of servers.
	listed time.Time
}

func (d *door) turnAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
}

// reads reports whether the node has read the list of servers since a time.
func (d *door) reads(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed.After(since)
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	away := d.away
	if !away && r.URL.Query().Get("topic") == names["servers"] {
		d.listed = time.Now()
	}
	d.mu.Unlock()
	if away && d.silent {
		select {
		case <-r.Context().Done():
		case <-time.After(20 * time.Second):
		}
		return
	}
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.handler().ServeHTTP(&doorWriter{ResponseWriter: w, door: d, r: r}, r)
}

// doorWriter withholds answers from a node that has been turned away in silence meanwhile.
type doorWriter struct {
	http.ResponseWriter
	door *door
	r    *http.Request
}

func (w *doorWriter) Write(data []byte) (int, error) {
	w.door.mu.Lock()
	lost := w.door.away && w.door.silent
	w.door.mu.Unlock()
	if lost {
		<-w.r.Context().Done()
		return 0, w.r.Context().Err()
	}
	return w.ResponseWriter.Write(data)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+names["append"], s.append)
	mux.HandleFunc("GET "+names["read"], s.read)
	mux.HandleFunc("GET "+names["newest"], s.list)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond) // an answer's time by the pages
		mux.ServeHTTP(w, r)
	})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == names["config"] || name == names["servers"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		answerJSON(w, http.StatusPreconditionFailed, map[string]int{"end": len(t.records)})
		return
	}
	first := len(t.records)
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		if size < 1 || len(data) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(name, append([]byte(nil), data[4:4+size]...))
		data = data[4+size:]
	}
	answerJSON(w, http.StatusOK, map[string]int{"offset": first, "end": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, grown := s.topic(q.Get("topic")), s.grown
		end := len(t.records)
		if end > from {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range t.records[from:] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
				body = append(body, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		case <-timeout:
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(binary.BigEndian.AppendUint64(body, 0))
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for _, key := range t.order {
		offset := t.newest[key]
		if value := t.records[offset][1+len(key):]; len(value) > 0 {
			items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset})
		}
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(t.records)})
}
