package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"banyanquay/internal/provider"
)

var errDown = errors.New("log is down")

// fakeLog is an in-memory log whose calls can be made to fail.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string][]provider.Record
	changed chan struct{}
	// down makes every call fail without effect.
	down bool
	// lostReplies is the number of following appends that take effect but return
	// an error.
	lostReplies int
	// delayed makes appends fail and take effect only on applyDelayed.
	delayed        bool
	delayedAppends []func()
	// first is the oldest offset retained.
	first    int
	attempts int
	// delay is the duration of one append.
	delay time.Duration
	// tick limits the appends to one a tick; nil sets no limit.
	tick <-chan time.Time
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: make(map[string][]provider.Record), changed: make(chan struct{})}
}

func (l *fakeLog) log() provider.Log {
	return provider.Log{Append: l.append, Read: l.read}
}

// update changes the log's behaviour under its lock and wakes the readers.
func (l *fakeLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.wake()
}

func (l *fakeLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) append(ctx context.Context, stream string, data []byte) (provider.Position, error) {
	if l.tick != nil {
		select {
		case <-l.tick:
		case <-ctx.Done():
			return provider.Position{}, ctx.Err()
		}
	}
	time.Sleep(l.delay)
	if ctx.Err() != nil {
		return provider.Position{}, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	if l.down {
		return provider.Position{}, errDown
	}
	if l.delayed {
		l.delayedAppends = append(l.delayedAppends, func() { l.put(stream, data) })
		return provider.Position{}, errDown
	}
	rec := l.put(stream, data)
	if l.lostReplies > 0 {
		l.lostReplies--
		return provider.Position{}, errDown
	}
	return provider.Position{Offset: rec.Offset, At: rec.At}, nil
}

// put adds a record and wakes the readers; mu is held.
func (l *fakeLog) put(stream string, data []byte) provider.Record {
	recs := l.streams[stream]
	rec := provider.Record{Offset: provider.Offset(len(recs)), At: time.Now().UnixMilli(), Data: data}
	l.streams[stream] = append(recs, rec)
	l.wake()
	return rec
}

// applyDelayed makes the delayed appends take effect.
func (l *fakeLog) applyDelayed() {
	l.update(func() {
		for _, put := range l.delayedAppends {
			put()
		}
		l.delayedAppends = nil
		l.delayed = false
	})
}

func (l *fakeLog) read(ctx context.Context, stream string, from provider.Offset, wait time.Duration) (provider.Page, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := l.page(stream, from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return page, nil
		case <-ctx.Done():
			return provider.Page{}, ctx.Err()
		}
	}
}

// page returns the stream's current records from an offset on.
func (l *fakeLog) page(stream string, from provider.Offset) (provider.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return provider.Page{}, nil, errDown
	}
	recs := l.streams[stream]
	page := provider.Page{First: provider.Offset(l.first), Next: provider.Offset(len(recs))}
	if l.first > 0 {
		page.FirstAt = recs[l.first-1].At
	}
	if at := max(int(from), l.first); at < len(recs) {
		page.Records = recs[at:]
	}
	return page, l.changed, nil
}
