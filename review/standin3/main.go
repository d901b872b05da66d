// Command standin3 plays the cases of the third review: it starts the project's nodes and
// stand-ins of the platform's store, of servers and of clients on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Results of a case.
const (
	held = iota
	broken
	couldNotRun
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(couldNotRun)
	}
	if os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) < 3 {
		os.Exit(couldNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNotRun)
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- play(f, os.Getenv("TROUBLE") != "0") }()
	code := couldNotRun
	select {
	case code = <-result:
	case <-stopped:
	case <-time.After(110 * time.Second):
		rec.say("the case takes too long")
	}
	f.close()
	rec.say("result %d (0 the rule held, 1 it was broken, 2 the case couldn't run)", code)
	fmt.Printf("result %d\n", code)
	os.Exit(code)
}

var cases = map[string]func(f *fleet, trouble bool) int{
	"leaving":  playLeaving,
	"frozen":   playFrozen,
	"restart":  playRestart,
	"departed": playDeparted,
	"path":     playPath,
}

// publish writes the operator's configuration: one streaming route to engines of one kind, each of
// which holds all layers, and routes to a plain service.
func (f *fleet) publish(version int) {
	engine := map[string]any{
		"slots": 192, "kv-tokens": 100000, names["cacheBytes"]: 42600, "link-mbps": 480000.0, "stride": 2,
		"models":  []map[string]any{{"name": "m0", "pace": 1.0, "load-s": 0.2, "warm-s": 0.1}},
		"step_ms": 0.85, "per_seq_ms": 0.00276, "context_per_k": 0.0037, "read_per_s": 272000.0, "pairs_per_m": 0.12, "chunk": 512,
		"report_lag_ms": 200.0, "loads-per-s": 0.0, "loads_at_once": 6, "delays": []any{},
		"usual": map[string]int{"prompt": 772, "answer": 145}, "layers": 8, names["layerMB"]: 1750.0, "act-bytes": 21300, "pipe-mbps": 9300.0,
		"kinds": []map[string]any{{"name": "a100s", "mb": 36000.0, "pace": 3.1, "read-x": 3.2}},
	}
	config := map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-stream", "host": host, names["pathPrefix"]: "/stream/", "kind": "streaming", "timeout-ms": 20000, names["target"]: 500, "priority": 1,
				"service": "desk", names["maxAttempts"]: 2, names["anonymous"]: false, "session-affinity": true, "resumable": true, "gap-aim-ms": 200,
			},
			{
				"name": "r-book", "host": host, names["pathPrefix"]: "/book/", "kind": "non_idempotent", "timeout-ms": 2000, names["target"]: 300, "priority": 2,
				"service": "orders", names["maxAttempts"]: 1, names["anonymous"]: false,
			},
			{
				"name": "r-look", "host": host, names["pathPrefix"]: "/look/", "kind": "idempotent", "timeout-ms": 2000, names["target"]: 300, "priority": 2,
				"service": "orders", names["maxAttempts"]: 2, names["anonymous"]: false,
			},
		},
		"services": []map[string]any{
			{"name": "desk", "health-check": "/health", "max-connections": 1068, "protocol": "h1", "tls": false, "engine": engine},
			{"name": "orders", "health-check": "/health", "max-connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", names["apiKeys"]: []string{apiKey}, "priority": 1}},
	}
	data, _ := json.Marshal(config)
	f.store.put(names["config"], "config", data)
}
