package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the time between two entries of a server.
const heartbeat = 1200 * time.Millisecond

// server is one server of a plain service. It registers itself in the store and runs each
// request that names it.
type server struct {
	id, zone, service, address string
	work                       time.Duration
	// header is added to each answer.
	header http.Header

	store *store
	rec   *recorder
	ln    *slowListener
	http  *http.Server
	born  int64
	stop  chan struct{}

	mu  sync.Mutex
	seq int
}

// run is one run of a request. leftAt is when the store had dropped the server's entry, zero
// if it has not.
type run struct {
	server string
	at     time.Duration
}

// runs collects the runs of requests, by request.
type runs struct {
	mu  sync.Mutex
	all map[string][]run
}

func (r *runs) add(id string, one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[id] = append(r.all[id], one)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.all[id]...)
}

// startServer starts a server and registers it.
func (b *bench) startServer(id, zone, service, address string, work time.Duration, header http.Header) (*server, error) {
	ln, err := listenShort(address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, zone: zone, service: service, address: address, work: work, header: header,
		store: b.store, rec: b.rec, ln: ln, born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(s, w, r) })}
	go s.http.Serve(ln)
	s.publish("ready")
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeat):
				s.publish("ready")
			}
		}
	}()
	b.servers = append(b.servers, s)
	return s, nil
}

// publish writes the server's entry.
func (s *server) publish(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return
	default:
	}
	s.seq++
	s.store.put(names["servers"], s.id, fmt.Appendf(nil, names["entry"],
		s.service, s.address, s.zone, state, s.seq, s.born))
}

// leave drops the server's entry without a notice before. The server goes on serving.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stop)
	s.store.put(names["servers"], s.id, nil)
	s.rec.printf("server %s: its entry is removed", s.id)
}

// exit ends the server with all its connections.
func (s *server) exit() {
	_ = s.http.Close()
	s.rec.printf("server %s: has exited", s.id)
}

// serve runs a request.
func (b *bench) serve(s *server, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set(names["instance"], s.id)
		return
	}
	id := r.Header.Get(names["request"])
	if want := r.Header.Get(names["expect"]); want != "" && want != s.id {
		w.Header().Set(names["instance"], s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(names["notrun"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.runs.add(id, run{server: s.id, at: b.rec.now()})
	s.rec.printf("server %s: runs %s %s (%d bytes)", s.id, r.Method, id, len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.rec.printf("server %s: the connection of %s has closed", s.id, id)
		return
	}
	for name, values := range s.header {
		w.Header()[name] = values
	}
	w.Header().Set(names["request"], id)
	w.Header().Set(names["signature"], "sig."+s.id+"."+id)
	text := "done " + id + " at " + s.id + "\n"
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
	s.rec.printf("server %s: has answered %s with 200", s.id, id)
}

// backlog is the length of a server's queue of new connections.
const backlog = 4

// slowListener accepts no connection while it is paused, so that its queue fills up.
type slowListener struct {
	net.Listener
	mu     sync.Mutex
	paused chan struct{}
	// held are the connections with which fill has filled the queue.
	held []net.Conn
}

// listenShort listens with a short queue.
func listenShort(address string) (*slowListener, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	sa := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(sa.Addr[:], tcp.IP.To4())
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return &slowListener{Listener: ln}, nil
}

// Accept waits until the listener isn't paused.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return conn, err
}

// fill pauses the listener and fills its queue, so that the opening packets of further
// connections are dropped.
func (l *slowListener) fill() {
	l.mu.Lock()
	l.paused = make(chan struct{})
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: 6 * time.Millisecond}
	for range 4 * backlog {
		conn, err := dialer.Dial("tcp", l.Addr().String())
		if err != nil {
			return
		}
		l.held = append(l.held, conn)
	}
}

// drain accepts connections again and closes those that filled the queue.
func (l *slowListener) drain() {
	for _, conn := range l.held {
		conn.Close()
	}
	l.held = nil
	l.mu.Lock()
	close(l.paused)
	l.paused = nil
	l.mu.Unlock()
}
