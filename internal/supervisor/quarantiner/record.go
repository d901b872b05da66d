package quarantiner

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/encoder"
	"banyanquay/internal/grouper"
	"banyanquay/internal/provider"
	"banyanquay/internal/recorder"
)

const (
	// writeDelay is how long after its decision a node writes the record: by then the
	// others have told which of the parts are sound.
	writeDelay = time.Second
	// writeInterval is the time between two checks for records to write, and between two
	// attempts.
	writeInterval = 700 * time.Millisecond
)

// record is the value of a part's record in the store.
type record struct {
	_ struct{} `cbor:",toarray"`
	// Until is the end of the quarantine, in Unix milliseconds. Clocks differ by seconds,
	// quarantines last minutes.
	Until int64
	Times int
}

// Step writes the records of parts in quarantine until its context ends.
func (q *Quarantiner) Step() grouper.Step {
	return grouper.Step{Name: "quarantine", Run: func(ctx context.Context) error {
		for grouper.Sleep(ctx, writeInterval-rand.N(writeInterval/4)) {
			q.cfg.Recorder.Guard("quarantine", func() { q.write(ctx) })
		}
		return nil
	}}
}

// write writes the records that are due at this node.
func (q *Quarantiner) write(ctx context.Context) {
	q.noteEra(q.cfg.Topics.CurrentEra())
	for p, h := range q.unwritten() {
		if !q.cfg.IsWriter(p.key()) {
			continue
		}
		until := time.Now().Add(h.until.Sub(q.cfg.Now()))
		value, err := encoder.CBOR(record{Until: until.UnixMilli(), Times: h.times})
		if err == nil {
			_, err = q.cfg.Topics.Append(ctx, q.cfg.Topic, p.key(), value)
		}
		if err != nil {
			q.cfg.Recorder.Warn(recorder.StoreUnreachable, zap.String("what", "quarantine"), zap.Error(err))
			return
		}
		q.markStored(p)
	}
}

// noteEra lets all records be written again if the store has come back from an older copy.
func (q *Quarantiner) noteEra(era uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if era == q.era {
		return
	}
	if len(q.holds) > 0 {
		q.cfg.Recorder.Info(recorder.StoreRestored, zap.String("what", "quarantine to be written again"),
			zap.Uint64("era", era), zap.Uint64("before", q.era), zap.Int("parts", len(q.holds)))
	}
	q.era = era
	for p, h := range q.holds {
		h.stored = false
		if h.decided.IsZero() {
			h.decided = q.cfg.Now()
		}
		q.holds[p] = h
	}
}

// unwritten returns the parts in quarantine by this node's decision of which it doesn't
// know that the store has them.
func (q *Quarantiner) unwritten() map[Part]hold {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	due := make(map[Part]hold)
	for p, h := range q.holds {
		if !h.stored && !h.decided.IsZero() && now.Sub(h.decided) >= writeDelay && now.Before(h.until) {
			due[p] = h
		}
	}
	return due
}

// markStored records that the store has a part's record.
func (q *Quarantiner) markStored(p Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if h, ok := q.holds[p]; ok {
		h.stored = true
		q.holds[p] = h
	}
}

// HandleRecords merges records of the store.
func (q *Quarantiner) HandleRecords(items []provider.Item) {
	q.update(func() bool {
		for _, it := range items {
			if len(it.Value) == 0 {
				continue
			}
			n, err := strconv.ParseUint(it.Key, 16, 64)
			var r record
			if err == nil {
				r, err = encoder.FromCBOR[record](it.Value)
			}
			if err != nil {
				q.cfg.Recorder.Warn(recorder.ListBadRecord, zap.String("part", it.Key), zap.Error(err))
				continue
			}
			remaining := min(time.Until(time.UnixMilli(r.Until)), maxHoldTime)
			h := hold{until: q.cfg.Now().Add(remaining), times: max(r.Times, 1), stored: true}
			if q.mergeHold(Part(n), h) {
				q.tell(news{held: []Part{Part(n)}}, "")
			}
		}
		return false
	})
}
