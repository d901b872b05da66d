package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gravitational/trace"

	"banyanquay/internal/bounder"
)

// maxEventBytes limits the size of one event of a stream. Events have on the order of
// a hundred bytes, and a node buffers one for each of its streams.
const maxEventBytes = 64 << 10

// minEventBuffer is the size of the first buffer for events.
const minEventBuffer = 512

// event is one event of a stream as the endpoint wrote it, with the blank line that
// ends it.
type event struct {
	data []byte
	// id is empty if the event has none.
	id string
	// empty is set if the event has only blank lines and comments.
	empty bool
}

var (
	idField          = []byte("id:")
	comment          = byte(':')
	newline          = byte('\n')
	headStart        = []byte("HTTP/1.")
	errTruncated     = trace.BadParameter("the stream ended within an event")
	errEventTooLarge = trace.LimitExceeded("an event exceeds %d bytes", maxEventBytes)
	errHeadInEvent   = trace.BadParameter("the head of another answer is within an event")
	errNotInOrder    = trace.BadParameter("an event has no ID, or none that follows the last one")
	errSkipped       = trace.BadParameter("events are missing before the first one of the answer that continues the stream")
	errNoEvent       = trace.BadParameter("the connection ended before the first event, and nothing else marks the end of the stream")
	errNotContinued  = trace.BadParameter("the answer has no event, and the stream that it continues lacks some")
)

// follows reports whether an event's ID may come after that of the previous event,
// which is empty if there is none. IDs increase. Those that aren't numbers can't be compared;
// such events are in order only as one endpoint sent them. continued is set if the previous
// event is of another endpoint's answer.
func follows(previous, id string, continued bool) bool {
	if id == "" || previous == "" {
		return id != ""
	}
	before, err1 := strconv.ParseUint(previous, 10, 64)
	after, err2 := strconv.ParseUint(id, 10, 64)
	switch {
	case err1 == nil && err2 == nil:
		return after > before
	case err1 == nil || continued:
		return false
	default:
		return id != previous
	}
}

// minSteps is the number of steps from one ID to the next after which IDs are taken to rise by
// one. The protocol says only that they increase.
const minSteps = 2

// numbering is how the IDs of a stream's events rise. It is an immutable value.
type numbering struct {
	// steps counts the steps from an event to the next; uneven is set after one by more than one.
	steps  int
	uneven bool
}

// with returns the numbering after another event of a stream.
func (n numbering) with(previous, id string) numbering {
	if previous == "" {
		return n
	}
	return numbering{steps: n.steps + 1, uneven: n.uneven || !isNext(previous, id)}
}

// skips reports whether events are missing between two events of a stream, as far as its
// numbering tells.
func (n numbering) skips(previous, id string) bool {
	return n.steps >= minSteps && !n.uneven && !isNext(previous, id)
}

// isNext reports whether an ID is the previous one plus one.
func isNext(previous, id string) bool {
	before, err1 := strconv.ParseUint(previous, 10, 64)
	after, err2 := strconv.ParseUint(id, 10, 64)
	return err1 == nil && err2 == nil && after == before+1
}

// nextEvent reads an event into buf, whose memory is reserved. It returns io.EOF at the end of the stream,
// errTruncated for a stream that ends within an event, and errHeadInEvent if a line is the
// first one of another answer.
func nextEvent(r *bufio.Reader, buf []byte, held *bounder.Reservation) (event, error) {
	e := event{data: buf[:0], empty: true}
	start := 0
	for {
		line, err := r.ReadSlice(newline)
		if size := len(e.data) + len(line); size > cap(e.data) {
			size = max(2*size, minEventBuffer)
			if err := held.Resize(int64(streamBuffer + size)); err != nil {
				return e, err
			}
			e.data = append(make([]byte, 0, size), e.data...)
		}
		e.data = append(e.data, line...)
		if len(e.data) > maxEventBytes {
			return e, errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.data) > 0 {
				return e, errTruncated
			}
			return e, err
		}
		text := bytes.TrimRight(e.data[start:], "\r\n")
		start = len(e.data)
		if len(text) == 0 {
			return e, nil
		}
		if bytes.HasPrefix(text, headStart) {
			// An endpoint that fails within an answer without framing may write a second one.
			return e, errHeadInEvent
		}
		e.empty = e.empty && text[0] == comment
		if id, ok := bytes.CutPrefix(text, idField); ok {
			e.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}
