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

// Part is one topic's share of a frame.
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
	// kick has room for one, so that kicks coalesce.
	kick chan struct{}
	// over is set once nothing more is received.
	over atomic.Bool

	mu    sync.Mutex
	pulse pulse
}

func newSession(owner *Linker, conn Conn, link Link) *session {
	return &session{owner: owner, conn: conn, link: link, kick: make(chan struct{}, 1)}
}

// wake asks for a frame soon.
func (s *session) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// run carries frames until the link breaks, falls silent, or ctx ends.
func (s *session) run(ctx context.Context) {
	l := s.owner
	defer l.remove(s)
	stop := context.AfterFunc(ctx, s.conn.Close)
	defer stop()
	s.pulse = pulse{heard: time.Now()}
	for _, topic := range l.topics {
		topic.LinkUp(s.link)
	}
	l.cfg.Recorder.Info(recorder.LinkUp, zap.String("peer", s.link.Address))
	l.cfg.Counters.Fleet.Add("links_up", 1)
	s.wake()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.write()
	}()
	s.read()
	s.conn.Close()
	s.over.Store(true)
	s.wake()
	<-done
	for _, topic := range l.topics {
		topic.LinkDown(s.link)
	}
	l.cfg.Recorder.Info(recorder.LinkDown, zap.String("peer", s.link.Address))
	l.cfg.Counters.Fleet.Add("links_down", 1)
}

// read takes frames until the connection ends.
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
		s.pulse = s.pulse.received(time.Now(), frame.Sequence, frame.Ack)
		s.mu.Unlock()
		for _, part := range frame.Parts {
			if topic, ok := l.topics[part.Topic]; ok {
				topic.Receive(s.link, part.Body)
			}
		}
	}
}

// write sends a frame at each interval or kick, and closes a silent link.
func (s *session) write() {
	defer s.conn.Close()
	var due atomic.Bool
	// A timer that fires at once would crash the race detector of Go 1.26
	// under testing/synctest; the first frame comes from run's kick.
	timer := time.AfterFunc(beatInterval, func() {
		due.Store(true)
		s.wake()
	})
	defer timer.Stop()
	for range s.kick {
		if !due.Load() {
			time.Sleep(kickDelay)
		}
		if s.over.Load() || s.silent() {
			return
		}
		sent, err := s.send(due.Swap(false))
		if err != nil {
			return
		}
		if sent {
			timer.Reset(beatInterval - rand.N(beatInterval/10))
		}
	}
}

// silent tells whether the peer has stopped answering.
func (s *session) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.pulse.silent(time.Now())
	if silent {
		s.owner.cfg.Counters.Fleet.Add("links_silent", 1)
	}
	return silent
}

// send collects the topics' parts into one frame. An empty one is sent only
// if it is due as a heartbeat.
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
	s.pulse = s.pulse.sending(time.Now())
	frame.Sequence, frame.Ack = s.pulse.sent, s.pulse.seen
	s.mu.Unlock()
	data, err := encoder.CBOR(frame)
	if err != nil {
		return false, err
	}
	l.cfg.Counters.Fleet.Add("frames_sent", 1)
	l.cfg.Counters.Fleet.Add("bytes_sent", int64(len(data)+headerBytes))
	return true, s.conn.Send(data)
}
