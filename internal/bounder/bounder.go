// Package bounder reads bodies of limited size into memory.
package bounder

import (
	"errors"
	"io"
	"sync"

	"github.com/gravitational/trace"
)

// ReadAll reads a whole body, and fails if it is longer than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("the body is longer than %d bytes", limit)
	}
	return body, nil
}

// minBuffer is the size of a pool's first buffer for a body, in bytes.
const minBuffer = 4 << 10

// Pool limits the memory of all bodies that are buffered at once. It is safe for
// concurrent use.
type Pool struct {
	mu   sync.Mutex
	free int64
}

// NewPool returns a pool of the given size in bytes.
func NewPool(size int64) *Pool {
	return &Pool{free: size}
}

// ReadAll reads a whole body, and fails if it is longer than limit bytes or if the
// pool is used up. The memory of the body counts as used until release is called,
// which is valid after an error, too.
func (p *Pool) ReadAll(r io.Reader, limit int64) (body []byte, release func(), err error) {
	used := int64(0)
	grow := func(size int64) error {
		if !p.take(size - used) {
			return trace.LimitExceeded("the memory for bodies is used up")
		}
		used = size
		return nil
	}
	release = func() { p.give(used) }
	if err := grow(minBuffer); err != nil {
		return nil, release, err
	}
	body = make([]byte, 0, minBuffer)
	for {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), limit+1)
			if err := grow(size); err != nil {
				return nil, release, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, release, trace.LimitExceeded("the body is longer than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return body, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}

// take reports whether size bytes were free, and marks them as used if so.
func (p *Pool) take(size int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free < size {
		return false
	}
	p.free -= size
	return true
}

// give marks size bytes as free.
func (p *Pool) give(size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free += size
}
