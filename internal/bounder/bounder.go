// Package bounder limits the memory of what other parties send: each body by itself, and
// all that is buffered at once by a budget of the process.
package bounder

import (
	"io"

	"github.com/gravitational/trace"
)

// ReadAll reads a whole body, and fails if it is longer than limit bytes. Programs that serve
// others use Pool.ReadAll.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errTooLong(limit)
	}
	return body, nil
}

func errTooLong(limit int64) error {
	return trace.LimitExceeded("the body is longer than %d bytes", limit)
}
