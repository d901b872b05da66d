package runner

import (
	"bytes"
	"context"
	"expvar"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"banyanquay/internal/driver"
	"banyanquay/internal/standin/generator"
)

// transferFault is what goes wrong with one transfer of a cache.
type transferFault int

const (
	soundTransfer transferFault = iota
	// These corrupt the header, which the runner must detect.
	otherRequest
	otherAttempt
	otherPosition
	otherLayers
	otherVersion
	// These transfer the data of the previous position, or of another request, with
	// the correct header.
	staleData
	otherRequestData
	exportDies
	exportHangs
	importDies
	importHangs
	// importReplyLost imports the cache and fails the call.
	importReplyLost
	// importNothing reports success and imports nothing.
	importNothing
	transferFaultCount
)

// transfers is what the fleet does to caches that are transferred.
type transfers struct {
	// transferFaults gives the fault of the n-th transfer; those beyond have
	// none.
	transferFaults []transferFault
	current        transferFault
	// previous is each engine's cache before its newest step.
	previous map[string]driver.Cache
	// wrongHeaders counts caches that an engine was given under a wrong header.
	wrongHeaders int
}

// saveCache keeps a copy of an engine's cache before a step.
func (f *fleet) saveCache(address string) {
	if f.previous == nil {
		f.previous = make(map[string]driver.Cache)
	}
	f.previous[address], _ = f.engines[address].Export("r")
}

func (f *fleet) exportCache(ctx context.Context, address, request string) (driver.Cache, error) {
	f.current = soundTransfer
	if len(f.transferFaults) > 0 {
		f.current, f.transferFaults = f.transferFaults[0], f.transferFaults[1:]
	}
	cache, err := f.engines[address].Export(request)
	switch f.current {
	case otherRequest:
		cache.Request = "another"
	case otherAttempt:
		cache.Attempt++
	case otherPosition:
		cache.Positions--
	case otherLayers:
		cache.Last--
	case otherVersion:
		cache.Version = "another"
	case staleData:
		cache.Data = f.previous[address].Data
	case otherRequestData:
		cache.Data = bytes.Replace(cache.Data, []byte(`"request":"r"`), []byte(`"request":"another"`), 1)
		cache.Data = bytes.ReplaceAll(cache.Data, []byte(`"kv":"`), []byte(`"kv":"AAAA`))
	case exportDies:
		return driver.Cache{}, errReset
	case exportHangs:
		<-ctx.Done()
		return driver.Cache{}, ctx.Err()
	}
	return cache, err
}

func (f *fleet) importCache(ctx context.Context, address string, cache driver.Cache) error {
	switch f.current {
	case otherRequest, otherAttempt, otherPosition, otherLayers, otherVersion:
		f.wrongHeaders++
	case importDies:
		return errReset
	case importHangs:
		<-ctx.Done()
		return ctx.Err()
	case importNothing:
		return nil
	}
	err := f.engines[address].Import(cache)
	if f.current == importReplyLost {
		return errReset
	}
	return err
}

// Whatever fault a transfer has, the answer is complete and correct, no engine
// is given a cache under a wrong header, and each refused step costs one
// replacement.
func TestImportsNeverChangeTokens(t *testing.T) {
	kinds := make([]transferFault, transferFaultCount)
	for i := range kinds {
		kinds[i] = transferFault(i)
	}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(rt, "tokens")
		script := rapid.SliceOfN(rapid.SampledFrom([]fault{none, none, none, overloads}), 10, 40).Draw(rt, "script")
		drawn := rapid.SliceOfN(rapid.SampledFrom(kinds), 10, 10).Draw(rt, "transferFaults")
		want := generator.Expect(testModel, testVersion, testLayers, testPrompt, n)
		// The second run is allowed as many replacements as steps were refused
		// in the first run, which has the same faults.
		allowed := len(script)
		for range 2 {
			f := newFleet(script)
			f.transferFaults = drawn
			got, err := runJob(t, f, allowed, job(n, nil))
			if err != nil || !slices.Equal(got, want) {
				rt.Fatalf("with %d replacements: got %q, %v, want %q", allowed, got, err, want)
			}
			if f.wrongHeaders > 0 {
				rt.Fatalf("got %d imports under a wrong header, want none", f.wrongHeaders)
			}
			hit := script[:min(f.steps, len(script))]
			allowed = len(slices.DeleteFunc(slices.Clone(hit), func(f fault) bool { return f == none }))
		}
	})
}

// runWithOverloads runs an answer of 40 tokens in which five steps are refused
// for overload. It returns the engines' totals and the counters of replaced
// stages.
func runWithOverloads(t *testing.T, transferFaults []transferFault) (generator.Totals, *expvar.Map) {
	script := make([]fault, 100)
	for i := 20; i < len(script); i += 16 {
		script[i] = overloads
	}
	f := newFleet(script)
	// Without the ranges of six layers each range has two holders.
	f.endpoints = slices.Delete(f.endpoints, 3, 5)
	f.transferFaults = transferFaults
	r := f.runner(5)
	want := generator.Expect(testModel, testVersion, testLayers, testPrompt, 40)
	if got, err := runWith(t, r, job(40, nil)); err != nil || !slices.Equal(got, want) {
		t.Fatalf("got %q, %v, want %q", got, err, want)
	}
	var totals generator.Totals
	for _, g := range f.engines {
		totals = totals.Add(g.Totals())
	}
	return totals, r.cfg.Stages
}

func TestAnImportedCacheIsNotFilledAgain(t *testing.T) {
	const needed = 40 * testLayers
	refilled, how := runWithOverloads(t, []transferFault{exportDies, exportDies, exportDies, exportDies, exportDies})
	t.Logf("refilled: %d layers beyond the %d needed, %d steps, %v", refilled.Work-needed, needed, refilled.Steps, how)
	if got := refilled.Work - needed; got == 0 {
		t.Error("got no work for refills, want some")
	}
	imported, how := runWithOverloads(t, nil)
	t.Logf("imported: %d layers beyond the %d needed, %d steps, %v", imported.Work-needed, needed, imported.Steps, how)
	if got := imported.Work - needed; got != 0 {
		t.Errorf("got %d layers run again, want none", got)
	}
	if got, want := how.String(), `{"imported": 5}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
