package archiver

import (
	"slices"
	"sync"
	"time"

	"banyanquay/internal/provider"
)

// Limits of one page.
const (
	maxPageRecords = 2000
	maxPageBytes   = 8 << 20
)

// stream is an append-only sequence of records.
type stream struct {
	mu sync.Mutex
	// records are contiguous, and the last one's offset is next-1.
	records []provider.Record
	next    provider.Offset
	// lastAt is the timestamp of the newest record ever appended, in Unix
	// milliseconds.
	lastAt int64
	// droppedAt is the timestamp of the newest record dropped by retention, in
	// Unix milliseconds, or 0.
	droppedAt int64
	// appended is closed and replaced by the next append.
	appended chan struct{}
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

// add appends a record.
func (s *stream) add(data []byte) provider.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAt = max(s.lastAt, time.Now().UnixMilli())
	pos := provider.Position{Offset: s.next, At: s.lastAt}
	s.records = append(s.records, provider.Record{Offset: pos.Offset, At: pos.At, Data: slices.Clone(data)})
	s.next++
	close(s.appended)
	s.appended = make(chan struct{})
	return pos
}

// page returns the records from an offset on, and a channel that the next append
// closes.
func (s *stream) page(from provider.Offset, age time.Duration, count int) (provider.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(age, count)
	first := s.next - provider.Offset(len(s.records))
	page := provider.Page{First: first, FirstAt: s.droppedAt, Next: s.next}
	if from < s.next {
		page.Records = limitPage(s.records[max(from, first)-first:])
	}
	return page, s.appended
}

// expire drops the records that are too old or too many.
func (s *stream) expire(age time.Duration, count int) {
	drop := 0
	if count > 0 {
		drop = max(0, len(s.records)-count)
	}
	if age > 0 {
		oldest := time.Now().Add(-age).UnixMilli()
		for drop < len(s.records) && s.records[drop].At < oldest {
			drop++
		}
	}
	if drop == 0 {
		return
	}
	s.droppedAt = s.records[drop-1].At
	s.records = slices.Clone(s.records[drop:])
}

// limitPage returns the leading records that fit one page, and at least one.
func limitPage(records []provider.Record) []provider.Record {
	records = records[:min(len(records), maxPageRecords)]
	size := 0
	for i, record := range records {
		size += len(record.Data)
		if i > 0 && size > maxPageBytes {
			return slices.Clone(records[:i])
		}
	}
	return slices.Clone(records)
}
