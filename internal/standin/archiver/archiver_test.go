package archiver

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"banyanquay/internal/provider"
)

// texts returns the data of all records of the stream.
func texts(t *testing.T, log provider.Log, stream string) []string {
	t.Helper()
	page, err := log.Read(t.Context(), stream, 0, 0)
	if err != nil {
		t.Fatalf("reading: %v", err)
	}
	var got []string
	for _, record := range page.Records {
		got = append(got, string(record.Data))
	}
	return got
}

func TestOutages(t *testing.T) {
	tests := map[string]struct {
		switches  Switches
		wantError bool
		wantNow   int
		wantLater int
	}{
		"none":       {Switches{}, false, 1, 1},
		"before":     {Switches{Outage: OutageBefore}, true, 0, 0},
		"after":      {Switches{Outage: OutageAfter}, true, 1, 1},
		"late":       {Switches{LateMillis: 5000}, true, 0, 1},
		"after late": {Switches{Outage: OutageAfter, LateMillis: 5000}, true, 0, 1},
		"slow":       {Switches{SlowMillis: 1000}, false, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(Config{Switches: test.switches})
				_, err := a.Log().Append(t.Context(), "s", []byte("x"))
				if got := err != nil; got != test.wantError {
					t.Errorf("got error %v, want one: %t", err, test.wantError)
				}
				if got := len(texts(t, a.Log(), "s")); got != test.wantNow {
					t.Errorf("got %d records at once, want %d", got, test.wantNow)
				}
				time.Sleep(10 * time.Second)
				if got := len(texts(t, a.Log(), "s")); got != test.wantLater {
					t.Errorf("got %d records later, want %d", got, test.wantLater)
				}
			})
		})
	}
}

func TestLostReplyOverHTTP(t *testing.T) {
	a := New(Config{Switches: Switches{Outage: OutageAfter}})
	srv := httptest.NewServer(a.Handler())
	defer srv.Close()
	client := provider.New(provider.Config{URL: srv.URL})
	if _, err := client.Log().Append(t.Context(), "a/b 0", []byte("x")); err == nil {
		t.Error("got no error from an append whose reply is lost")
	}
	if got := texts(t, client.Log(), "a/b 0"); len(got) != 1 || got[0] != "x" {
		t.Errorf("got records %q, want one", got)
	}
}

func TestAppendsBeyondTheRateWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Switches: Switches{AppendsPerSecond: 100}})
		begin := time.Now()
		var wg sync.WaitGroup
		for range 101 {
			wg.Go(func() {
				if _, err := a.Log().Append(t.Context(), "s", nil); err != nil {
					t.Errorf("appending: %v", err)
				}
			})
		}
		wg.Wait()
		if got, want := time.Since(begin), time.Second; got != want {
			t.Errorf("got 101 appends in %s, want %s", got, want)
		}
	})
}

func TestAbandonedAppendTakesEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Switches: Switches{AppendsPerSecond: 1}})
		if _, err := a.Log().Append(t.Context(), "s", []byte("first")); err != nil {
			t.Fatalf("appending: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := a.Log().Append(ctx, "s", []byte("second")); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want the deadline's", err)
		}
		time.Sleep(2 * time.Second)
		if got := texts(t, a.Log(), "s"); len(got) != 2 {
			t.Errorf("got records %q, want both", got)
		}
	})
}

func TestReadWaitsForTheFirstRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{})
		begin := time.Now()
		time.AfterFunc(3*time.Second, func() {
			_, _ = a.Log().Append(context.Background(), "s", []byte("x"))
		})
		page, err := a.Log().Read(t.Context(), "s", 0, time.Minute)
		if err != nil || len(page.Records) != 1 {
			t.Fatalf("got page %+v and error %v, want one record", page, err)
		}
		if got, want := time.Since(begin), 3*time.Second; got != want {
			t.Errorf("got the record after %s, want %s", got, want)
		}
		page, err = a.Log().Read(t.Context(), "s", page.Next, time.Minute)
		if err != nil || len(page.Records) != 0 || page.Next != 1 {
			t.Errorf("got page %+v and error %v, want an empty one", page, err)
		}
	})
}

// planStep is a pause, then an append, then a read from an offset.
type planStep struct {
	pause time.Duration
	from  provider.Offset
}

// TestRetention checks every page against a model that keeps all appended
// records.
func TestRetention(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sw := Switches{
			RetentionMillis:  rapid.SampledFrom([]int64{0, 1000, 3000}).Draw(rt, "age"),
			RetentionCount:   rapid.IntRange(0, 5).Draw(rt, "count"),
			AppendsPerSecond: 1e6,
		}
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) planStep {
			return planStep{
				pause: time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond,
				from:  provider.Offset(rapid.IntRange(0, 25).Draw(t, "from")),
			}
		}), 1, 20).Draw(rt, "plan")
		var err error
		synctest.Test(t, func(t *testing.T) {
			err = runPlan(t.Context(), sw, plan)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// runPlan runs a plan and returns the first unexpected page as an error.
func runPlan(ctx context.Context, sw Switches, plan []planStep) error {
	a := New(Config{Switches: sw})
	var all []provider.Position
	for i, next := range plan {
		time.Sleep(next.pause)
		pos, err := a.Log().Append(ctx, "s", []byte(fmt.Sprint(i)))
		if err != nil {
			return err
		}
		all = append(all, pos)
		page, err := a.Log().Read(ctx, "s", next.from, 0)
		if err != nil {
			return err
		}
		if got, want := page, wantPage(sw, all, next.from); !reflect.DeepEqual(got, want) {
			return fmt.Errorf("got page %+v, want %+v", got, want)
		}
	}
	return nil
}

// wantPage returns the expected page of a read from an offset on.
func wantPage(sw Switches, all []provider.Position, from provider.Offset) provider.Page {
	first := 0
	if sw.RetentionCount > 0 {
		first = max(0, len(all)-sw.RetentionCount)
	}
	for sw.RetentionMillis > 0 && all[first].At < time.Now().UnixMilli()-sw.RetentionMillis {
		first++
	}
	page := provider.Page{First: provider.Offset(first), Next: provider.Offset(len(all))}
	if first > 0 {
		page.FirstAt = all[first-1].At
	}
	for i := max(first, int(from)); i < len(all); i++ {
		page.Records = append(page.Records, provider.Record{
			Offset: all[i].Offset, At: all[i].At, Data: []byte(fmt.Sprint(i)),
		})
	}
	return page
}

func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := provider.VM{Address: "a:1", Role: provider.RoleNode, Centre: "c"}
		a := New(Config{VMs: []provider.VM{vm}, ListLag: 3 * time.Second})
		leaving := vm
		leaving.Leaving = true
		a.SetVM(leaving)
		time.Sleep(2 * time.Second)
		a.DropVM(vm.Address)
		for i, want := range []string{"[{a:1 node c false}]", "[{a:1 node c true}]", "[]"} {
			vms, err := a.List().VMs(t.Context())
			if got := fmt.Sprint(vms); err != nil || got != want {
				t.Errorf("got list %s and error %v at step %d, want %s", got, err, i, want)
			}
			time.Sleep(1500 * time.Millisecond)
		}
	})
}
