package commander

import (
	"bufio"
	"io"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/encoder"
	"banyanquay/internal/refuser"
)

// maxEventBytes limits one line of a stream.
const maxEventBytes = 1 << 20

// endOfStream is the data of the event that ends a stream.
const endOfStream = "[DONE]"

// chunk is one event of a streamed response.
type chunk struct {
	// Sequence numbers the events; nil if the event carries no token.
	Sequence *int64   `json:"sequence"`
	Choices  []choice `json:"choices"`
}

// choice is the part of a chunk that carries the content.
type choice struct {
	Delta message `json:"delta"`
}

// readStream passes the texts of a streamed response to onText in order. It returns
// an error unless the stream is complete, including its end event.
func readStream(r io.Reader, onText func(string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	event := ""
	nextSequence := int64(-1)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "":
			event = ""
		case name == "event":
			event = value
		case name == "data" && event == "error":
			return streamError(value)
		case name == "data" && value == endOfStream:
			return nil
		case name == "data":
			var err error
			if nextSequence, err = readChunk(value, nextSequence, onText); err != nil {
				return err
			}
		}
	}
	return trace.Errorf("the stream ended without its end event (%v); the output is incomplete", lines.Err())
}

// readChunk passes the text of a chunk to onText and returns the next expected
// sequence number.
func readChunk(data string, nextSequence int64, onText func(string)) (int64, error) {
	c, err := encoder.FromJSON[chunk]([]byte(data))
	if err != nil {
		return nextSequence, trace.Wrap(err, "reading the stream")
	}
	if c.Sequence != nil {
		if nextSequence >= 0 && *c.Sequence != nextSequence {
			return nextSequence, trace.Errorf("the stream jumps to sequence %d, expected %d; the output is incomplete", *c.Sequence, nextSequence)
		}
		nextSequence = *c.Sequence + 1
	}
	for _, ch := range c.Choices {
		if ch.Delta.Content != "" {
			onText(ch.Delta.Content)
		}
	}
	return nextSequence, nil
}

// streamError decodes an error event.
func streamError(data string) error {
	problem, err := encoder.FromJSON[refuser.Problem]([]byte(data))
	if err != nil {
		return trace.Wrap(err, "reading the stream's error")
	}
	return &problemError{problem: problem}
}
