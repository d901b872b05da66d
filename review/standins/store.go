package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// store is the platform's store: topics of one partition with the newest record of each
// key. It loses nothing, and its answers are linearizable.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]uint64
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), appended: make(chan struct{})}
}

// topic returns a topic. The caller must hold mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]uint64)}
		s.topics[name] = t
	}
	return t
}

// put appends the record of a key; one without a value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
}

// add appends a record and returns its offset. The caller must hold mu.
func (s *store) add(name string, record []byte) uint64 {
	t := s.topic(name)
	offset := uint64(len(t.records))
	t.records = append(t.records, record)
	if n := int(record[0]); len(record) > n {
		key := string(record[1 : 1+n])
		if len(record) == 1+n {
			delete(t.newest, key)
		} else {
			t.newest[key] = offset
		}
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// access is one machine's way to the store: an address of its own, which can be cut off.
type access struct {
	address string
	store   *store
	cut     atomic.Bool
	// endpointReads counts the reads of the servers' records after the first listing.
	endpointReads atomic.Int64
	server        *http.Server
}

// newAccess opens a way to the store at an address.
func newAccess(s *store, address string) (*access, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &access{address: address, store: s}
	a.server = &http.Server{Handler: a}
	go a.server.Serve(ln)
	return a, nil
}

// ServeHTTP serves a call, or leaves it without an answer while the machine is cut off.
func (a *access) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if a.cut.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	query := r.URL.Query()
	if part := query.Get("part"); part != "" && part != "0" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch name := query.Get("topic"); r.URL.Path {
	case names["append"]:
		a.append(w, name, query.Get("at"), body)
	case names["read"]:
		if name == names["servers"] {
			a.endpointReads.Add(1)
		}
		a.read(w, r, name)
	case names["newest"]:
		a.newest(w, name, query.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (a *access) append(w http.ResponseWriter, name, at string, body []byte) {
	if name == names["op"] || name == names["servers"] {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || len(rest)-4 < int(binary.BigEndian.Uint32(rest)) || binary.BigEndian.Uint32(rest) == 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := 4 + int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[4:size]), rest[size:]
	}
	time.Sleep(2 * time.Millisecond)
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(s.topic(name).records))
	if at != "" && at != strconv.FormatUint(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]uint64{"end": end})
		return
	}
	for _, record := range records {
		s.add(name, record)
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"offset": end, "end": end + uint64(len(records))})
}

func (a *access) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.ParseUint(r.FormValue("from"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait-ms"))
	expired := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	over := wait == 0
	for {
		a.store.mu.Lock()
		t, appended := a.store.topic(name), a.store.appended
		end := uint64(len(t.records))
		var records [][]byte
		if from < end {
			records = t.records[from:]
		}
		a.store.mu.Unlock()
		if len(records) > 0 || over {
			a.writeRecords(w, r, end, records)
			return
		}
		select {
		case <-appended:
		case <-expired:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the answer of a read, unless the machine has been cut off meanwhile.
func (a *access) writeRecords(w http.ResponseWriter, r *http.Request, end uint64, records [][]byte) {
	if a.cut.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	data := binary.BigEndian.AppendUint64(nil, end)
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records {
		data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
	}
	_, _ = w.Write(data)
}

func (a *access) newest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset uint64 `json:"offset"`
	}
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   uint64 `json:"end"`
	}{Items: []item{}}
	a.store.mu.Lock()
	t := a.store.topic(name)
	page.End = uint64(len(t.records))
	for key, offset := range t.newest {
		if key > after {
			page.Items = append(page.Items, item{key, t.records[offset][1+len(key):], offset})
		}
	}
	a.store.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
