package soaker

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"banyanquay/internal/soaker/auditor"
	"banyanquay/internal/soaker/scheduler"
)

func TestKinds(t *testing.T) {
	got, err := ParseKinds([]string{"kill", "store_deaf", "limit", "change"})
	if want := []scheduler.Kind{scheduler.Kill, scheduler.StoreDropTo, scheduler.Limit, scheduler.Change}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	if _, err := ParseKinds([]string{"flood"}); err == nil || !strings.Contains(err.Error(), "flood") {
		t.Errorf("got %v, want an error that names the fault", err)
	}
}

// Guards against choosing a range of ports of which another process uses some.
func TestFindPorts(t *testing.T) {
	cfg := Config{Nodes: 1, Engines: 1}
	port, err := findPorts(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	ips := []string{siteIP, proxyIP}
	if err := checkFree(t.Context(), ips, port, 3); err != nil {
		t.Errorf("port %d: %v", port, err)
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(proxyIP, fmt.Sprint(port+2)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if checkFree(t.Context(), ips, port, 3) == nil {
		t.Errorf("ports %d to %d are reported as free, but %d is in use", port, port+2, port+2)
	}
}

// Each fault of a link has a proxy mode.
func TestProxyModes(t *testing.T) {
	for k := scheduler.StoreDelay; k <= scheduler.EndpointDropBoth; k++ {
		link := k <= scheduler.StoreDropBoth || k >= scheduler.EndpointDelay
		if _, ok := proxyModes[k]; ok != link {
			t.Errorf("%s: got a mode %v, want %v", k, ok, link)
		}
	}
}

func TestReportListsFailedRecovery(t *testing.T) {
	r := newRun(Config{Nodes: 1, Engines: 1, Port: 19400})
	since := time.Now()
	for n := range 20 {
		status := 200
		if n < 2 {
			status = 503
		}
		r.auditor.Record(auditor.Request{Key: "site-key", Sent: since, Status: status})
	}
	rep := r.report(nil, since)
	if got, want := strings.Join(rep.Violations, " "), "recovery: 18 of 20"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
	if got, want := rep.Summary(), "look 503"; strings.Contains(got, want) || !strings.Contains(got, "stream 503: 2") {
		t.Errorf("summary: got %q", got)
	}
}
