package commander

import (
	"strings"
	"testing"
)

// logLines are log lines of two nodes about a stream that failed, among other
// lines.
const logLines = `
  5.1 node-2 {"level":"info","ts":"2026-12-04T01:00:05.1Z","msg":"request refused","event":200,"request":"r1","route":"r","service":"s","configuration":7,"confirmed":"1.5s","code":5006,"name":"stream_broken","ran":"maybe","sends":2,"runs":2,"midway":true,"took":"2.1s","wait":"0s","detail":"no repeat left"}
{"level":"info","ts":"2026-12-04T01:00:03Z","msg":"stream stalled","event":208,"request":"r1","path":["a","b"],"suspects":["b"],"silence":"95ms","interval":"40ms","events":12}
not a line
{"level":"info","ts":"2026-12-04T01:00:03.1Z","msg":"try at an endpoint failed","event":206,"request":"r1","path":["a","b"],"send":1,"events":12,"took":"1s","cause":"no progress"}
{"level":"info","ts":"2026-12-04T01:00:03Z","msg":"request ended","event":201,"request":"r10","status":200}
`

func TestDescribeEntries(t *testing.T) {
	entries, err := readEntries(strings.NewReader(logLines), "r1")
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"no event for 95ms, usual interval 40ms; suspects: b",
		"attempt at a > b failed after 1s and 12 events: no progress",
		`interrupted midway after 2.1s with 5006 stream_broken (ran: maybe, 2 sends) on route "r" of service "s": no repeat left; configuration 7, confirmed 1.5s earlier`,
	}
	if len(entries) != len(want) {
		t.Fatalf("got %d entries, want %d", len(entries), len(want))
	}
	for i, e := range entries {
		if got := e.describe(); got != want[i] {
			t.Errorf("entry %d: got %q, want %q", i, got, want[i])
		}
	}
}
