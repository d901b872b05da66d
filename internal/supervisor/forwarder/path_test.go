package forwarder

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"banyanquay/internal/standin/emulator"
)

// Engines are twelve times slower, and in each data centre one of them alone holds
// its layers. Its steps are fast enough, but it can't prefill the prompts of the
// data centre's streams, which come from several nodes. First events came after
// seconds, though the other data centre had time to prefill.
func TestStreamsShareSlowEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ranges := [][2]int{{0, 20}, {20, 40}, {40, 60}, {60, 70}, {70, 80}}
		all, entries := engines(map[string][][2]int{"a": ranges, "b": ranges})
		w := newHarness(t, emulator.New(emulator.Defaults(), all).Relay(), entries...)
		// Two other nodes in this data centre do the same as this one.
		w.f.cfg.Nodes, w.f.cfg.CentreNodes = func() int { return 6 }, func() int { return 3 }
		w.f.cfg.OtherTokens = func(id string) (int, int) {
			if strings.HasPrefix(id, "a") {
				return 2 * w.f.assessor.Record(id).Tokens, 2
			}
			return 0, 2
		}
		const (
			pace     = 12
			prompt   = 800
			streams  = 30
			interval = 100 * time.Millisecond
		)
		service, _ := w.view.Configuration.Service("llm")
		kind, _ := service.Engine.Accelerator("l4")
		reading := time.Duration(0)
		for n := range streams {
			for _, id := range []string{"a4", "b4"} {
				w.f.recordPace(id, id+":1", pace, true)
			}
			path, err := w.f.path(&call{Request: Request{PromptTokens: prompt}, neededTokens: 1000, service: "llm"}, "1")
			if err != nil {
				t.Fatal(err)
			}
			defer w.f.assessor.Begin(ids(path), 1000)()
			w.f.recordPrefill("llm", path, prompt, 0)
			if path[len(path)-1].ID == "a4" {
				reading += 3 * pace * service.Engine.PrefillTime(kind, 10, prompt)
			}
			time.Sleep(interval)
			// The prefill backlog of the slow engine delays the first event.
			if wait, want := reading-time.Duration(n+1)*interval, 500*time.Millisecond; wait > want {
				t.Fatalf("after %d streams the slow engine has a prefill backlog of %v, want at most %v", n+1, wait, want)
			}
		}
	})
}
