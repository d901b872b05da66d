package linker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/recorder"
)

// Part is the message of one topic in a frame.
type Part struct {
	_     struct{} `cbor:",toarray"`
	Topic TopicID
	Body  []byte
}

// Frame is one message on a link. An empty one is a heartbeat.
type Frame struct {
	_ struct{} `cbor:",toarray"`
	// Sequence counts the sender's frames.
	Sequence uint64
	// Ack is the highest sequence that the sender has received.
	Ack   uint64
	Parts []Part
}

// session runs one link.
type session struct {
	owner *Linker
	link  Link
	conn  Conn
	// flushRequests has a capacity of one, so that requests coalesce.
	flushRequests chan struct{}
	// receiveDone is set once nothing more is received.
	receiveDone atomic.Bool

	mu       sync.Mutex
	liveness liveness
}

func newSession(owner *Linker, conn Conn, link Link) *session {
	return &session{owner: owner, conn: conn, link: link, flushRequests: make(chan struct{}, 1)}
}

// scheduleFlush requests a frame after flushDelay.
func (s *session) scheduleFlush() {
	select {
	case s.flushRequests <- struct{}{}:
	default:
	}
}

// run exchanges frames until the link breaks, the peer becomes unresponsive, or ctx
// ends.
func (s *session) run(ctx context.Context) {
	l := s.owner
	defer l.remove(s)
	stop := context.AfterFunc(ctx, s.conn.Close)
	defer stop()
	s.liveness = liveness{lastReceived: time.Now()}
	for _, topic := range l.topics {
		topic.LinkUp(s.link)
	}
	l.cfg.Recorder.Info(recorder.LinkUp, zap.String("peer", s.link.Address))
	l.cfg.Counters.Fleet.Add("links_up", 1)
	s.scheduleFlush()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.write()
	}()
	s.read()
	s.conn.Close()
	s.receiveDone.Store(true)
	s.scheduleFlush()
	<-done
	for _, topic := range l.topics {
		topic.LinkDown(s.link)
	}
	l.cfg.Recorder.Info(recorder.LinkDown, zap.String("peer", s.link.Address))
	l.cfg.Counters.Fleet.Add("links_down", 1)
}

// read receives frames until the connection ends.
func (s *session) read() {
	l := s.owner
	for {
		data, err := s.conn.Receive()
		if err != nil {
			return
		}
		frame, err := encoder.FromCBOR[Frame](data)
		if err != nil {
			l.cfg.Counters.Fleet.Add("frames_bad", 1)
			return
		}
		l.cfg.Counters.Fleet.Add("bytes_received", int64(len(data)+headerBytes))
		s.mu.Lock()
		s.liveness = s.liveness.withReceived(time.Now(), frame.Sequence, frame.Ack)
		s.mu.Unlock()
		for _, part := range frame.Parts {
			if topic, ok := l.topics[part.Topic]; ok {
				l.cfg.Recorder.Guard("message", func() { topic.Receive(s.link, part.Body) })
			}
		}
	}
}

// write sends a frame at each heartbeat or flush request, and closes the link if the
// peer is unresponsive.
func (s *session) write() {
	defer s.conn.Close()
	var due atomic.Bool
	// A timer that fires at once would crash the race detector of Go 1.26 under
	// testing/synctest; run requests the first frame instead.
	timer := time.AfterFunc(heartbeatInterval, func() {
		due.Store(true)
		s.scheduleFlush()
	})
	defer timer.Stop()
	for range s.flushRequests {
		if !due.Load() {
			time.Sleep(flushDelay)
		}
		if s.receiveDone.Load() || s.unresponsive() {
			return
		}
		sent, err := s.send(due.Swap(false))
		if err != nil {
			return
		}
		if sent {
			timer.Reset(heartbeatInterval - rand.N(heartbeatInterval/10))
		}
	}
}

// unresponsive reports whether the peer has stopped answering.
func (s *session) unresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unresponsive := s.liveness.unresponsive(time.Now())
	if unresponsive {
		s.owner.cfg.Counters.Fleet.Add("links_silent", 1)
	}
	return unresponsive
}

// send collects the topics' parts into one frame. An empty frame is sent only if it
// is due as a heartbeat.
func (s *session) send(due bool) (sent bool, err error) {
	l := s.owner
	var frame Frame
	for id := Nodes; id <= lastTopic; id++ {
		topic, ok := l.topics[id]
		if !ok {
			continue
		}
		if body := topic.Flush(s.link); body != nil {
			frame.Parts = append(frame.Parts, Part{Topic: id, Body: body})
		}
	}
	if !due && len(frame.Parts) == 0 {
		return false, nil
	}
	s.mu.Lock()
	s.liveness = s.liveness.withSent(time.Now())
	frame.Sequence, frame.Ack = s.liveness.lastSent, s.liveness.lastSeen
	s.mu.Unlock()
	data, err := encoder.CBOR(frame)
	if err != nil {
		return false, err
	}
	l.cfg.Counters.Fleet.Add("frames_sent", 1)
	l.cfg.Counters.Fleet.Add("bytes_sent", int64(len(data)+headerBytes))
	return true, s.conn.Send(data)
}
