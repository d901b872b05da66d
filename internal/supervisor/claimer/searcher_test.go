package claimer

import (
	"context"
	"math/bits"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/provider"
)

// fakeStream is a stream of records at given times, read in pages of size
// records.
type fakeStream struct {
	times []int64
	// first is the oldest offset retained.
	first int
	size  int
	// reads and records count the pages and records returned.
	reads, records int
}

func (s *fakeStream) read(_ context.Context, from provider.Offset) (provider.Page, error) {
	s.reads++
	page := provider.Page{First: provider.Offset(s.first), Next: provider.Offset(len(s.times))}
	if s.first > 0 {
		page.FirstAt = s.times[s.first-1]
	}
	for i := max(int(from), s.first); i < len(s.times) && len(page.Records) < s.size; i++ {
		page.Records = append(page.Records, provider.Record{Offset: provider.Offset(i), At: s.times[i]})
	}
	s.records += len(page.Records)
	return page, nil
}

// TestSearchSkipsOnlyRecordsOutsideWindow draws streams and pages of any size. The
// position found must skip exactly the records older than the window, beyond
// those dropped by retention, and the number of reads must be logarithmic.
func TestSearchSkipsOnlyRecordsOutsideWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStream{size: rapid.IntRange(1, 50).Draw(t, "page")}
		s.times = rapid.SliceOfN(rapid.Int64Range(1, 10_000), 0, 300).Draw(t, "times")
		slices.Sort(s.times)
		s.first = rapid.IntRange(0, len(s.times)).Draw(t, "first")
		window := rapid.Int64Range(1, 12_000).Draw(t, "keep")
		got, err := searcher{read: s.read, window: time.Duration(window) * time.Millisecond}.search(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		want := s.first
		for want < len(s.times) && s.times[want] <= s.times[len(s.times)-1]-window {
			want++
		}
		if got.first != provider.Offset(want) {
			t.Fatalf("got start offset %d, want %d", got.first, want)
		}
		if want > 0 && got.firstAt != s.times[want-1] {
			t.Fatalf("got time %d of the newest skipped record, want %d", got.firstAt, s.times[want-1])
		}
		if maxReads := 3 + bits.Len(uint(len(s.times))); s.reads > maxReads {
			t.Fatalf("got %d reads of %d records, want at most %d", s.reads, len(s.times), maxReads)
		}
	})
}

// TestSearchReadsFewPagesOfADay searches a stream of one day, with a record every
// 66 ms and pages of 2000, for the last ten minutes.
func TestSearchReadsFewPagesOfADay(t *testing.T) {
	s := &fakeStream{size: 2000}
	for at := int64(1); at < (24 * time.Hour).Milliseconds(); at += 66 {
		s.times = append(s.times, at)
	}
	got, err := searcher{read: s.read, window: 10 * time.Minute}.search(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	left := len(s.times) - int(got.first)
	t.Logf("%d reads of %d records, then %d from the start on, of %d in all", s.reads, s.records, left, len(s.times))
	if total := s.records + left; total > len(s.times)/20 {
		t.Errorf("got %d records read, want at most a twentieth of %d", total, len(s.times))
	}
}
