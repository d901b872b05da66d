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
	got, err := Kinds([]string{"kill", "store_deaf"})
	if want := []scheduler.Kind{scheduler.Kill, scheduler.StoreDeaf}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	if _, err := Kinds([]string{"flood"}); err == nil || !strings.Contains(err.Error(), "flood") {
		t.Errorf("got %v, want an error that names the fault", err)
	}
}

// The pattern: another program, or another run, has some of the ports.
func TestFreePort(t *testing.T) {
	cfg := Config{Nodes: 1, Engines: 1}
	port, err := freePort(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	ips := []string{siteIP, frontIP}
	if err := free(t.Context(), ips, port, 3); err != nil {
		t.Errorf("port %d: %v", port, err)
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(frontIP, fmt.Sprint(port+2)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	if free(t.Context(), ips, port, 3) == nil {
		t.Errorf("ports %d to %d count as free, and %d is not", port, port+2, port+2)
	}
}

// Each fault of a link has something to do to connections.
func TestModes(t *testing.T) {
	for k := scheduler.StoreDelay; k <= scheduler.EndpointSilent; k++ {
		link := k <= scheduler.StoreSilent || k >= scheduler.EndpointDelay
		if _, ok := modes[k]; ok != link {
			t.Errorf("%s: got a mode %v, want %v", k, ok, link)
		}
	}
}

func TestReportNamesWhatDidNotRecover(t *testing.T) {
	r := newRun(Config{Nodes: 1, Engines: 1, Port: 19400})
	since := time.Now()
	for n := range 20 {
		status := 200
		if n < 2 {
			status = 503
		}
		r.auditor.Saw(auditor.Request{Key: "site-key", Sent: since, Status: status})
	}
	rep := r.report(nil, since)
	if got, want := strings.Join(rep.Broken, " "), "recovery: 18 of 20"; !strings.Contains(got, want) {
		t.Errorf("got %q, want %q in it", got, want)
	}
	if got, want := rep.Summary(), "look 503"; strings.Contains(got, want) || !strings.Contains(got, "stream 503: 2") {
		t.Errorf("summary: got %q", got)
	}
}
