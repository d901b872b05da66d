package registrar

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// up returns a change that registers an endpoint.
func up(id string, born int64, leaving bool) Change {
	return Change{ID: id, Entry: &Entry{ID: id, Address: id + ":1", Born: born, Leaving: leaving}}
}

func TestWith(t *testing.T) {
	later := start.Add(2 * time.Second)
	cases := []struct {
		name    string
		before  []Change
		now     time.Time
		keep    time.Time
		changes []Change
		want    []Entry
	}{
		{"a new endpoint", nil, start, start, []Change{up("a", 1, false)}, []Entry{{ID: "a", Address: "a:1", Born: 1}}},
		{"a removed endpoint is dropped", []Change{up("a", 1, false)}, start, start, []Change{{ID: "a"}}, nil},
		{
			"an endpoint removed around an outage of the store is kept",
			[]Change{up("a", 1, false)},
			start, later,
			[]Change{{ID: "a"}},
			[]Entry{{ID: "a", Address: "a:1", Born: 1}},
		},
		{"an unreadable record removes its endpoint", []Change{up("a", 1, false)}, start, later, []Change{{ID: "a", Unreadable: true}}, nil},
		{
			"an unreadable record doesn't affect other endpoints",
			[]Change{up("a", 1, false)},
			start, start,
			[]Change{{ID: "b", Unreadable: true}},
			[]Entry{{ID: "a", Address: "a:1", Born: 1}},
		},
		{
			"a late record of an earlier start is ignored",
			[]Change{up("a", 5, false)},
			start, start,
			[]Change{up("a", 4, true)},
			[]Entry{{ID: "a", Address: "a:1", Born: 5}},
		},
		{
			"an endpoint stays leaving within one start",
			[]Change{up("a", 5, true)},
			start, start,
			[]Change{up("a", 5, false)},
			[]Entry{{ID: "a", Address: "a:1", Born: 5, Leaving: true}},
		},
		{
			"the next start isn't leaving",
			[]Change{up("a", 5, true)},
			start, start,
			[]Change{up("a", 6, false)},
			[]Entry{{ID: "a", Address: "a:1", Born: 6}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := Table{}.With(start, start, c.before).With(c.now, c.keep, c.changes)
			got := table.All()
			if len(got) != len(c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			for i := range got {
				if got[i] != c.want[i] {
					t.Errorf("got %+v, want %+v", got[i], c.want[i])
				}
			}
		})
	}
}

func TestRetainedEndpointExpires(t *testing.T) {
	later := start.Add(2 * time.Second)
	table := Table{}.With(start, start, []Change{up("a", 1, false)}).With(start, later, []Change{{ID: "a"}})
	if got, want := table.Expired(later.Add(-time.Millisecond)).Len(), 1; got != want {
		t.Errorf("before the expiry: got %d entries, want %d", got, want)
	}
	if got, want := table.Expired(later).Len(), 0; got != want {
		t.Errorf("after the expiry: got %d entries, want %d", got, want)
	}
	back := table.With(start, later, []Change{up("a", 1, false)})
	if got, want := back.Expired(later).Len(), 1; got != want {
		t.Errorf("after it registered again: got %d entries, want %d", got, want)
	}
}

func TestReplacedDropsWhatIsMissing(t *testing.T) {
	table := Table{}.With(start, start, []Change{up("a", 1, false), up("b", 1, false)})
	next := table.Replaced(start, start, []Entry{{ID: "b", Address: "b:1", Born: 1}})
	if _, got := next.Get("a"); got {
		t.Errorf("a is still known, want it gone")
	}
	if _, got := next.Get("b"); !got {
		t.Errorf("b is gone, want it known")
	}
	if got, want := table.Len(), 2; got != want {
		t.Errorf("the table before: got %d entries, want %d", got, want)
	}
}
