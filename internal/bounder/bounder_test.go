package bounder

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/gravitational/trace"
)

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestReadAll(t *testing.T) {
	pool := NewPool(1 << 20)
	readers := map[string]func(r io.Reader, limit int64) ([]byte, error){
		"alone": ReadAll,
		"pool": func(r io.Reader, limit int64) ([]byte, error) {
			body, release, err := pool.ReadAll(r, limit)
			defer release()
			return body, err
		},
	}
	const limit = 10000
	for name, read := range readers {
		for _, size := range []int{0, 1, minBuffer - 1, minBuffer, minBuffer + 1, limit} {
			want := bytes.Repeat([]byte("x"), size)
			got, err := read(iotest.OneByteReader(bytes.NewReader(want)), limit)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%s, %d bytes: got %d bytes, error %v", name, size, len(got), err)
			}
		}
		if _, err := read(strings.NewReader(strings.Repeat("x", limit+1)), limit); !trace.IsLimitExceeded(err) {
			t.Errorf("%s, a byte over the limit: got error %v, want LimitExceeded", name, err)
		}
		if _, err := read(iotest.ErrReader(io.ErrUnexpectedEOF), limit); err == nil {
			t.Errorf("%s, a broken body: got no error", name)
		}
	}
	if got, want := pool.free, int64(1<<20); got != want {
		t.Errorf("free after all were released: got %d, want %d", got, want)
	}
}

// Bodies without an end, each below its own limit, must not use more memory
// together than the pool has.
func TestPoolLimitsAllBodies(t *testing.T) {
	const size = 1 << 20
	pool := NewPool(size)
	var releases []func()
	for range 100 {
		body, release, err := pool.ReadAll(endless{}, size)
		releases = append(releases, release)
		if !trace.IsLimitExceeded(err) {
			t.Fatalf("got %d bytes, error %v, want LimitExceeded", len(body), err)
		}
		if pool.free < 0 {
			t.Fatalf("got %d bytes free, want 0 or more", pool.free)
		}
	}
	if _, release, err := pool.ReadAll(strings.NewReader("short"), size); err == nil {
		t.Error("with the pool used up: got no error")
	} else {
		releases = append(releases, release)
	}
	for _, release := range releases {
		release()
	}
	if body, _, err := pool.ReadAll(strings.NewReader("short"), size); err != nil || string(body) != "short" {
		t.Errorf("after the release: got %q, error %v", body, err)
	}
}
