package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"banyanquay/platform/imitator"
)

// Guards against a store that comes back from an older copy: what nodes know as offsets,
// fencing numbers and configurations must not be taken for that of the new era.
func TestStoreComesBackFromAnOlderCopy(t *testing.T) {
	f := startFleetOf(t, 4)
	f.site.Store.Backup()
	engines := f.site.EngineAddresses("a")
	// Each start of all nodes makes another lead, and so a higher fencing number.
	for range 2 {
		lead := f.site.Lead()
		var wg sync.WaitGroup
		for _, app := range f.nodes {
			wg.Go(func() { stopNode(t, app) })
		}
		wg.Wait()
		for n := range 3 {
			f.nodes[n] = f.startNode(t, n)
		}
		f.waitFor(t, "another start leads", func() bool {
			return !bytes.Equal(lead, f.site.Lead())
		})
	}
	// The engines that are left get orders with the highest number.
	f.site.Kill(engines[0])
	f.awaitLayers(t, engines[1:])
	f.site.Revive(engines[0])
	f.awaitLayers(t, engines[:1])
	f.site.Configure("other-key")
	served := func(key string, n, code int) bool {
		got, _, err := f.visitor(n, key).Call(t.Context(), http.MethodGet, "/look/1", fmt.Sprint(key, n, time.Now().UnixNano()))
		return err == nil && got == code
	}
	for n := range 3 {
		f.waitFor(t, "the configuration is in force", func() bool {
			return served("other-key", n, http.StatusOK) && served(imitator.Key, n, http.StatusUnauthorized)
		})
	}
	document := f.site.Document()

	f.site.Store.Restore()
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n := range 3 {
			if served(imitator.Key, n, http.StatusOK) {
				t.Fatalf("node %d: a key that was removed before the store came back is served", n)
			}
		}
	}
	f.site.WriteDocument(document)
	f.site.Configure("third-key")
	began := time.Now()
	for n := range 3 {
		f.waitFor(t, "a later configuration is in force", func() bool { return served("third-key", n, http.StatusOK) })
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the later configuration was in force after %v, want at most 2 s", took)
	}
	f.site.Kill(engines[1])
	f.awaitLayers(t, []string{engines[0], engines[2], engines[3]})
}

// awaitLayers waits until two engines have been ordered to hold all layers, or one to hold
// some.
func (f *fleet) awaitLayers(t *testing.T, addresses []string) {
	t.Helper()
	const layers = 80
	f.waitFor(t, "the engines hold layers", func() bool {
		held := make(map[int]bool)
		for _, address := range addresses {
			first, last := f.site.Emulator.Held(address)
			for n := first; n < last; n++ {
				held[n] = true
			}
		}
		return len(held) == layers || len(addresses) == 1 && len(held) > 0
	})
}
