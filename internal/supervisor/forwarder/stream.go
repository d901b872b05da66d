package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"banyanquay/internal/driver"
	"banyanquay/internal/supervisor/quarantiner"
)

// relayEvents relays the events of a stream as they arrive, complete ones only.
func (f *Forwarder) relayEvents(ctx context.Context, c *call, s *session, reply driver.Reply) error {
	held, err := f.cfg.Memory.Calls.Reserve(streamBuffer)
	defer held.Release()
	if err != nil {
		return trace.ConnectionProblem(err, "reading the stream")
	}
	limit := f.limitWrites(c)
	defer limit.end()
	r := bufio.NewReaderSize(reply.Body, streamBuffer)
	out := http.NewResponseController(c.w)
	var buf []byte
	continued := c.answered
	for {
		e, err := nextEvent(r, buf, held)
		if errors.Is(err, io.EOF) {
			if err := c.checkEnd(reply, s.snapshot()); err != nil {
				return err
			}
			if !c.answered {
				c.writeHead(f, s, reply)
			}
			return nil
		}
		if err != nil {
			return trace.ConnectionProblem(err, "reading the stream")
		}
		buf = e.data
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if e.empty {
			continue // keeps the connection open and is no progress
		}
		if err := c.checkOrder(e.id, continued); err != nil {
			return err
		}
		if !c.answered {
			c.writeHead(f, s, reply)
		}
		limit.next()
		if _, err := c.w.Write(e.data); err != nil {
			return trace.ConnectionProblem(err, "writing to the caller")
		}
		if err := out.Flush(); err != nil {
			return trace.ConnectionProblem(err, "writing to the caller")
		}
		c.numbering = c.numbering.with(c.lastEventID, e.id)
		c.lastEventID, c.lastWrite, continued = e.id, f.cfg.Now(), false
		attempt, proves := s.recordEvent(f.cfg.Now())
		f.recordEvents(c, attempt, proves)
	}
}

// recordEvents records what a number of events of an attempt shows of its request; more than that it has begun if proves is
// set.
func (f *Forwarder) recordEvents(c *call, events int, proves bool) {
	if events == quarantiner.ProvenEvents {
		f.cfg.Quarantine.RecordSound(c.content)
	}
	if proves && (provesCoarsely(events) || f.cfg.Quarantine.FollowsProgress()) {
		f.cfg.Quarantine.RecordProgress(c.content, events)
	}
}

// writeHead writes the head of a stream's answer.
func (c *call) writeHead(f *Forwarder, s *session, reply driver.Reply) {
	f.copyHeader(c, reply)
	c.w.WriteHeader(reply.Status)
	c.answered, c.status, c.firstWrite = true, reply.Status, f.cfg.Now()
	s.setVersion(reply.Version)
}
