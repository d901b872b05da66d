package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt. It is safe for concurrent
// use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now()}, nil
}

// now returns the time since the start.
func (r *recorder) now() time.Duration { return time.Since(r.began) }

// printf writes one line with the time since the start.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
