package reducer

import (
	"flag"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"banyanquay/internal/describer"
	"banyanquay/internal/provider"
)

// Sizes of the small fleet that the properties run on.
const (
	testWindow = 3
	testNodes  = 3
)

// TestMain sets the number and length of rapid's runs. Flags still override them.
func TestMain(m *testing.M) {
	settings := map[string]string{"rapid.checks": "1000", "rapid.steps": "60", "rapid.shrinktime": "300ms"}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// fleet is a log, the states of its readers, and what the test has recorded of both.
type fleet struct {
	log   []provider.Record
	first provider.Offset
	// delayed holds appends that have not taken effect yet.
	delayed [][]byte
	nodes   []State
	// refs[n] is the fold of the first n records.
	refs []State
	// bases holds the base of each change that was sent.
	bases map[string]describer.Revision
	// outcomes holds the receipt of each change as first reported by any node.
	outcomes map[string]Receipt
	// served holds the revision that each node serves of each organisation.
	served []map[string]describer.Revision
	rules  overrides
	ids    int
	// restores enables the action of an operator's restore.
	restores bool
}

func newFleet(r overrides) *fleet {
	r.window, r.partSize = testWindow, 1
	empty, _ := State{overrides: r}.Fold(provider.Page{})
	f := &fleet{rules: r, outcomes: make(map[string]Receipt), bases: make(map[string]describer.Revision), refs: []State{empty}}
	for range testNodes {
		f.join()
	}
	return f
}

func (f *fleet) join() {
	f.nodes = append(f.nodes, State{overrides: f.rules})
	f.served = append(f.served, make(map[string]describer.Revision))
}

func (f *fleet) append(data []byte) {
	r := provider.Record{Offset: provider.Offset(len(f.log)), At: int64(len(f.log) + 1), Data: data}
	f.log = append(f.log, r)
	ref, _ := f.refs[len(f.refs)-1].Fold(provider.Page{Records: []provider.Record{r}})
	f.refs = append(f.refs, ref)
}

func (f *fleet) page(from provider.Offset, n int) provider.Page {
	next := provider.Offset(len(f.log))
	from = min(max(from, f.first), next)
	end := min(from+provider.Offset(n), next)
	return provider.Page{First: f.first, FirstAt: int64(f.first), Next: next, Records: f.log[from:end]}
}

// publish sends a change made at a node. Its append may be lost, duplicated or
// delayed.
func (f *fleet) publish(t *rapid.T) {
	s := f.nodes[f.drawNode(t)]
	f.ids++
	c := Change{ID: fmt.Sprint("c", f.ids), Seen: s.next, Operator: "op"}
	c.Organisation = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation")
	c.Base = s.entries[c.Organisation].Revision + describer.Revision(rapid.IntRange(0, 1).Draw(t, "ahead"))
	c.Remove = rapid.IntRange(0, 3).Draw(t, "remove") == 0
	if !c.Remove {
		hash := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "hash")
		c.Template.Template = describer.Template{Name: c.Organisation, KeyHashes: []string{hash}}
	}
	f.bases[c.ID] = c.Base
	f.send(t, Record{Change: &c})
}

func (f *fleet) send(t *rapid.T, r Record) {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	switch rapid.SampledFrom([]string{"now", "twice", "late", "now and late"}).Draw(t, "append") {
	case "now":
		f.append(data)
	case "twice":
		f.append(data)
		f.append(data)
	case "late":
		f.delayed = append(f.delayed, data)
	case "now and late":
		f.append(data)
		f.delayed = append(f.delayed, data)
	}
}

func (f *fleet) drawNode(t *rapid.T) int { return rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node") }

func (f *fleet) read(t *rapid.T, i int, from provider.Offset, n int) {
	s, events := f.nodes[i].Fold(f.page(from, n))
	f.nodes[i] = s
	for _, e := range events {
		if e.Receipt.ID == "" {
			continue
		}
		first, ok := f.outcomes[e.Receipt.ID]
		if !ok {
			f.outcomes[e.Receipt.ID] = e.Receipt
		} else if first != e.Receipt {
			t.Fatalf("change %s: got outcome %+v after %+v", e.Receipt.ID, e.Receipt, first)
		}
	}
	f.checkNode(t, i)
}

// restore stages the state of an incomplete node and sends the record that puts it
// in force, which may be delayed or duplicated.
func (f *fleet) restore(t *rapid.T) {
	s := f.nodes[f.drawNode(t)]
	if s.complete {
		t.Skip("nothing to restore")
	}
	f.ids++
	parts, commit := s.Restore(fmt.Sprint("r", f.ids))
	for _, part := range parts {
		f.mustAppend(t, part)
	}
	f.send(t, commit)
}

func (f *fleet) mustAppend(t *rapid.T, r Record) {
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.append(data)
}

// actions returns what can happen to the fleet.
func (f *fleet) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"publish": f.publish,
		"snapshot": func(t *rapid.T) {
			f.ids++
			for _, part := range f.nodes[f.drawNode(t)].Snapshot(fmt.Sprint("s", f.ids)) {
				f.send(t, part)
			}
		},
		"surface": func(t *rapid.T) {
			if len(f.delayed) == 0 {
				t.Skip("nothing is late")
			}
			i := rapid.IntRange(0, len(f.delayed)-1).Draw(t, "late")
			f.append(f.delayed[i])
			f.delayed = slices.Delete(f.delayed, i, i+1)
		},
		"garbage": func(t *rapid.T) {
			f.append(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes"))
		},
		"read": func(t *rapid.T) {
			i := f.drawNode(t)
			f.read(t, i, f.nodes[i].next, rapid.IntRange(0, 5).Draw(t, "records"))
		},
		"read again": func(t *rapid.T) {
			i := f.drawNode(t)
			back := provider.Offset(rapid.IntRange(0, 4).Draw(t, "back"))
			f.read(t, i, f.nodes[i].next-min(back, f.nodes[i].next), 5)
		},
		"expire": func(t *rapid.T) {
			f.first = provider.Offset(rapid.IntRange(int(f.first), len(f.log)).Draw(t, "first"))
		},
		"restart": func(t *rapid.T) {
			i := f.drawNode(t)
			f.nodes[i] = State{overrides: f.rules}
			clear(f.served[i])
		},
	}
	if f.restores {
		actions["restore"] = f.restore
	}
	return actions
}

// checkNode checks a node's state against the fold of the whole log and against the
// receipts that were reported before.
func (f *fleet) checkNode(t *rapid.T, i int) {
	s := f.nodes[i]
	for name, e := range s.entries {
		if e.Revision < f.served[i][name] {
			t.Fatalf("node %d: revision of %s fell from %d to %d", i, name, f.served[i][name], e.Revision)
		}
		f.served[i][name] = e.Revision
	}
	if !s.complete {
		return
	}
	ref := f.refs[s.next]
	if !reflect.DeepEqual(s.entries, ref.entries) || !reflect.DeepEqual(s.keyOwners, ref.keyOwners) {
		t.Fatalf("node %d: got %v at %d, want %v", i, s.entries, s.next, ref.entries)
	}
	holders := make(map[string]string)
	for name, e := range s.entries {
		for _, hash := range e.Template.KeyHashes {
			if other, ok := holders[hash]; ok {
				t.Fatalf("node %d: %s and %s both hold key %s", i, other, name, hash)
			}
			holders[hash] = name
		}
	}
	won := make(map[string]string)
	for id, r := range f.outcomes {
		if r.Verdict != Accepted {
			continue
		}
		place := fmt.Sprintf("%s/%d", r.Organisation, r.Revision)
		if other, ok := won[place]; ok {
			t.Fatalf("changes %s and %s were both accepted as %s", other, id, place)
		}
		won[place] = id
		if r.Revision != max(f.bases[id], f.refs[r.Offset].revisionFloor)+1 {
			t.Fatalf("change %s from base %d: got revision %d", id, f.bases[id], r.Revision)
		}
		if got := s.entries[r.Organisation].Revision; r.Offset >= ref.restoredAt() && r.Offset < s.next && got < r.Revision {
			t.Fatalf("node %d: accepted change %s is gone, got revision %d, want at least %d", i, id, got, r.Revision)
		}
	}
}

// converge lets every node read to the end of the log. If any is complete then, it
// appends a last snapshot and checks that all nodes end complete and equal.
func (f *fleet) converge(t *rapid.T) {
	for i := range f.nodes {
		f.read(t, i, f.nodes[i].next, len(f.log)+1)
	}
	if !f.refs[len(f.log)].complete {
		t.Fatal("a record made a reader of the whole log incomplete")
	}
	i := slices.IndexFunc(f.nodes, State.Complete)
	if i < 0 {
		return
	}
	for _, part := range f.nodes[i].Snapshot("last") {
		f.mustAppend(t, part)
	}
	f.join()
	for i := range f.nodes {
		f.read(t, i, f.nodes[i].next, len(f.log)+1)
		if !f.nodes[i].complete {
			t.Fatalf("node %d is not complete after a whole snapshot", i)
		}
	}
}

func property(r overrides, restores bool) func(t *rapid.T) {
	return func(t *rapid.T) {
		f := newFleet(r)
		f.restores = restores
		t.Repeat(f.actions())
		f.converge(t)
	}
}

func TestCompleteNodesEndEqual(t *testing.T) {
	rapid.Check(t, property(overrides{}, false))
}

func TestCompleteNodesEndEqualAfterRestores(t *testing.T) {
	rapid.Check(t, property(overrides{}, true))
}

// recordingTB records the failure and the log of a property that is expected to
// fail.
type recordingTB struct {
	*testing.T
	failed bool
	lines  []string
}

func (r *recordingTB) Failed() bool      { return r.failed }
func (r *recordingTB) Fail()             { r.failed = true }
func (r *recordingTB) FailNow()          { r.failed = true; runtime.Goexit() }
func (r *recordingTB) Log(args ...any)   { r.lines = append(r.lines, fmt.Sprint(args...)) }
func (r *recordingTB) Error(args ...any) { r.Log(args...); r.Fail() }
func (r *recordingTB) Fatal(args ...any) { r.Log(args...); r.FailNow() }
func (r *recordingTB) Logf(f string, a ...any) {
	r.lines = append(r.lines, fmt.Sprintf(f, a...))
}
func (r *recordingTB) Errorf(f string, a ...any) { r.Logf(f, a...); r.Fail() }
func (r *recordingTB) Fatalf(f string, a ...any) { r.Logf(f, a...); r.FailNow() }

// TestEachMechanismIsNeeded turns off one mechanism at a time. The property must
// then find a counter-example.
func TestEachMechanismIsNeeded(t *testing.T) {
	mutants := map[string]overrides{
		"any base is accepted":                     {acceptAnyBase: true},
		"any age is accepted":                      {acceptAnyAge: true},
		"duplicates are judged anew":               {ignoreReceipts: true},
		"any snapshot is loaded":                   {loadAnySnapshot: true},
		"changes since a snapshot aren't replayed": {skipReplay: true},
		"an incomplete node hands on its state":    {snapshotIncomplete: true},
		"a removal forgets the revision":           {deleteRemoved: true},
		"a key may have two holders":               {allowSharedKeys: true},
		"a restore is never void":                  {acceptAnyRestore: true},
		"a restore doesn't raise the revisions":    {ignoreRevisionFloor: true},
		"a gap is ignored":                         {ignoreGaps: true},
	}
	for name, r := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tb := &recordingTB{T: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(tb, property(r, r.acceptAnyRestore || r.ignoreRevisionFloor))
			}()
			<-done
			if !tb.failed {
				t.Fatal("the property holds without the mechanism")
			}
			for _, line := range tb.lines {
				if strings.Contains(line, "failed") || strings.Contains(line, "[rapid] panic") {
					t.Log(line)
				}
			}
		})
	}
}
