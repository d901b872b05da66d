package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

// newRecord creates the record of a case.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(file), file: file, began: time.Now()}, nil
}

// line adds a line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// close writes what is left.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
