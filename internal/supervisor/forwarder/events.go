package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream as the endpoint wrote it, with the blank line that
// ends it.
type event struct {
	data []byte
	// id is empty if the event has none.
	id string
}

var (
	idField          = []byte("id:")
	newline          = byte('\n')
	errTruncated     = trace.BadParameter("the stream ended within an event")
	errEventTooLarge = trace.LimitExceeded("an event exceeds %d bytes", maxEventBytes)
)

// nextEvent reads an event into buf. It returns io.EOF at the end of the stream,
// and errTruncated for a stream that ends within an event.
func nextEvent(r *bufio.Reader, buf []byte) (event, error) {
	e := event{data: buf[:0]}
	for {
		start := len(e.data)
		line, err := r.ReadSlice(newline)
		e.data = append(e.data, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.data) > maxEventBytes {
				return e, errEventTooLarge
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.data) > 0 {
				return e, errTruncated
			}
			return e, err
		}
		text := bytes.TrimRight(e.data[start:], "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(text, idField); ok {
			e.id = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}
