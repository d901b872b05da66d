package claimer

import (
	"context"
	"time"

	"banyanquay/internal/provider"
)

// startPosition is where a reader starts: it skips the records before offset
// first; the newest skipped one was appended at the log time firstAt.
type startPosition struct {
	first   provider.Offset
	firstAt int64
}

// searcher finds the position from which a reader needs a stream.
type searcher struct {
	// read returns a page of the records from an offset on, without waiting for
	// new ones.
	read func(ctx context.Context, from provider.Offset) (provider.Page, error)
	// window is how far back from the newest record the reader needs the
	// stream. It is positive.
	window time.Duration
}

// search returns the last position that skips no record within the window. It is
// a binary search that reads one page for each step, until a page contains the
// position.
func (s searcher) search(ctx context.Context) (startPosition, error) {
	oldest, err := s.read(ctx, 0)
	if err != nil || len(oldest.Records) == 0 {
		return startPosition{first: oldest.First, firstAt: oldest.FirstAt}, err
	}
	newest, err := s.read(ctx, oldest.Next-1)
	if err != nil || len(newest.Records) == 0 {
		return startPosition{first: oldest.First, firstAt: oldest.FirstAt}, err
	}
	cutoff := newest.Records[0].At - s.window.Milliseconds()
	return s.bisect(ctx, oldest, newest.Records[0].Offset, cutoff)
}

// bisect searches for the position between a page and the offset high, whose
// record is newer than cutoff.
func (s searcher) bisect(ctx context.Context, page provider.Page, high provider.Offset, cutoff int64) (startPosition, error) {
	low, found := startPosition{first: page.First, firstAt: page.FirstAt}.skipUntil(page, cutoff)
	for !found && low.first < high {
		middle := low.first + (high-low.first)/2
		page, err := s.read(ctx, middle)
		if err != nil {
			return startPosition{}, err
		}
		if page.First > low.first {
			low = startPosition{first: page.First, firstAt: page.FirstAt}
		}
		if len(page.Records) == 0 {
			return low, nil
		}
		if first := page.Records[0]; first.At > cutoff {
			high = first.Offset
			continue
		}
		low, found = low.skipUntil(page, cutoff)
	}
	return low, nil
}

// skipUntil returns the position after the page's records that are not newer than
// cutoff, and whether the page has a newer one.
func (o startPosition) skipUntil(page provider.Page, cutoff int64) (startPosition, bool) {
	for _, record := range page.Records {
		if record.At > cutoff {
			return o, true
		}
		o = startPosition{first: record.Offset + 1, firstAt: record.At}
	}
	return o, false
}
