package documenter

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"banyanquay/internal/counter"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

// updateVariable is the environment variable that makes the test update the pages.
const updateVariable = "UPDATE_DOCS"

// marker precedes the generated table in each page.
const marker = "<!-- made by internal/documenter; run UPDATE_DOCS=1 go test ./internal/documenter -->\n"

func TestGeneratedTablesAreCurrent(t *testing.T) {
	settings, err := Fields("../loader/settings.go", "Settings", "toml", loader.Defaults())
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := Fields("../counter/counter.go", "Set", "expvar", counter.Set{})
	if err != nil {
		t.Fatal(err)
	}
	latencies, err := Fields("../counter/latency.go", "Latencies", "expvar", counter.Latencies{})
	if err != nil {
		t.Fatal(err)
	}
	pages := map[string]string{
		"CODES.md":    Codes(),
		"EVENTS.md":   Events(),
		"SETTINGS.md": settings,
		"METRICS.md":  metrics + "\nQuantiles in milliseconds, of nodes with `relay.enabled`:\n\n" + latencies,
	}
	for name, want := range pages {
		t.Run(name, func(t *testing.T) {
			compare(t, filepath.Join("..", "..", "docs", name), want)
		})
	}
}

// compare checks that a page ends with the generated table, or updates the page.
func compare(t *testing.T, path, want string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	head, got, _ := strings.Cut(string(data), marker)
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(path, []byte(head+marker+want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got != want {
		t.Errorf("%s differs from the code; run with %s=1", path, updateVariable)
	}
}

func TestEveryEventAndCodeIsListed(t *testing.T) {
	events := make(map[recorder.Event]bool)
	for _, row := range recorder.Catalogue() {
		events[row.Event] = true
	}
	for e := recorder.Event(0); e < 1000; e++ {
		if named := !strings.HasPrefix(e.String(), "Event("); named != events[e] {
			t.Errorf("event %d: got listed %v, want %v", int(e), events[e], named)
		}
	}
	codes := make(map[refuser.Code]bool)
	for _, row := range refuser.Table() {
		codes[row.Code] = true
	}
	for c := refuser.Code(0); c < 10000; c++ {
		if named := !strings.HasPrefix(c.String(), "Code("); named != codes[c] {
			t.Errorf("code %d: got listed %v, want %v", int(c), codes[c], named)
		}
	}
}
