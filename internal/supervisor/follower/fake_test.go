package follower

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"banyanquay/internal/counter"
	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

var errOutage = errors.New("no route to the log")

// fakeLog is one stream of the platform's log, in memory and with injected faults.
type fakeLog struct {
	mu        sync.Mutex
	records   []provider.Record
	first     int
	retention time.Duration
	appended  chan struct{}
	// readDown and appendDown make calls fail without effect.
	readDown, appendDown bool
	// lostReplies is the number of appends that take effect but return an error.
	lostReplies int
	// lateAppends is how many appends fail and take effect after lateBy.
	lateAppends int
	lateBy      time.Duration
	// delay is how long an append takes.
	delay time.Duration
}

func newFakeLog() *fakeLog { return &fakeLog{appended: make(chan struct{})} }

func (l *fakeLog) locked(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

func (l *fakeLog) size() (n int) {
	l.locked(func() { n = len(l.records) })
	return n
}

func (l *fakeLog) outage(down bool) {
	l.locked(func() { l.readDown, l.appendDown = down, down })
}

func (l *fakeLog) put(data []byte) provider.Position {
	at := time.Now().UnixMilli()
	r := provider.Record{Offset: provider.Offset(len(l.records)), At: at, Data: data}
	l.records = append(l.records, r)
	close(l.appended)
	l.appended = make(chan struct{})
	return provider.Position{Offset: r.Offset, At: at}
}

func (l *fakeLog) append(_ context.Context, _ string, data []byte) (provider.Position, error) {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.appendDown:
		return provider.Position{}, errOutage
	case l.lateAppends > 0:
		l.lateAppends--
		time.AfterFunc(l.lateBy, func() { l.locked(func() { l.put(data) }) })
		return provider.Position{}, errOutage
	case l.lostReplies > 0:
		l.lostReplies--
		l.put(data)
		return provider.Position{}, errOutage
	}
	return l.put(data), nil
}

func (l *fakeLog) page(from provider.Offset) (provider.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.readDown {
		return provider.Page{}, nil, errOutage
	}
	var firstAt int64
	for l.retention > 0 && l.first < len(l.records) &&
		time.Now().UnixMilli()-l.records[l.first].At > l.retention.Milliseconds() {
		l.first++
	}
	if l.first > 0 {
		firstAt = l.records[l.first-1].At
	}
	start := min(max(int(from), l.first), len(l.records))
	return provider.Page{
		First: provider.Offset(l.first), FirstAt: firstAt,
		Next: provider.Offset(len(l.records)), Records: l.records[start:],
	}, l.appended, nil
}

func (l *fakeLog) read(ctx context.Context, _ string, from provider.Offset, wait time.Duration) (provider.Page, error) {
	page, more, err := l.page(from)
	if err != nil || len(page.Records) > 0 || wait == 0 {
		return page, err
	}
	select {
	case <-ctx.Done():
		return page, ctx.Err()
	case <-more:
	case <-time.After(wait):
	}
	page, _, err = l.page(from)
	return page, err
}

// node is a running follower.
type node struct {
	*Follower
	counters *counter.Set
	stop     func()
}

// start runs a follower with a snapshot every 20 s.
func start(t *testing.T, l *fakeLog, name string, names ...string) *node {
	return startEvery(t, l, 20*time.Second, name, names...)
}

// startEvery runs a follower of a fake log with the given time between snapshots.
func startEvery(t *testing.T, l *fakeLog, every time.Duration, name string, names ...string) *node {
	return startOn(t, provider.Log{Append: l.append, Read: l.read}, every, name, names...)
}

// startOn runs a follower until the test ends or stop is called.
func startOn(t *testing.T, log provider.Log, every time.Duration, name string, names ...string) *node {
	ids := 0
	counters := counter.New()
	f := New(Config{
		Log: log, Recorder: recorder.Nop(), Counters: counters,
		Now: time.Now, Node: name, Nodes: func() []string { return names },
		NewID: func() string {
			ids++
			return fmt.Sprintf("%s-%d-%d", name, ids, time.Now().UnixNano())
		},
		SnapshotEvery: every,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := f.Step().Run(ctx); err != nil {
			t.Errorf("got %v from the follower", err)
		}
	}()
	n := &node{Follower: f, counters: counters, stop: func() { cancel(); <-done }}
	t.Cleanup(n.stop)
	return n
}

// template returns a valid template.
func template(name string, share float64) describer.Template {
	return describer.Template{
		Name: name, Share: share, KeyHashes: []string{describer.HashKey(name)},
		Model: describer.Model{Name: "m", Version: "1"},
	}
}

func change(name string, base describer.Revision, share float64) Change {
	return Change{Organisation: name, Base: base, Template: template(name, share)}
}
