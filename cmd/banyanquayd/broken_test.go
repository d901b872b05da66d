package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"banyanquay/platform/imitator"
)

const (
	// uploadBytes is more than the socket buffers of both sides take, so that an upload is still being
	// written when an endpoint answers it early.
	uploadBytes = 5 << 20
	// brokenEvents is the number of events of a stream.
	brokenEvents = 20
	// brokenCalls is the number of requests of each kind.
	brokenCalls = 3
)

// startProcess starts a site whose configuration allows large bodies, and a node before it as a process of
// its own. It returns a caller of that node that sends such bodies.
func startProcess(t *testing.T) (*fleet, imitator.Caller) {
	f := &fleet{port: freePort(t)}
	f.site = imitator.New(imitator.Config{IP: siteIP, Port: f.port + 10, Centres: []string{"a", "b"}, Engines: 3})
	f.site.WriteDocument(bytes.Replace(f.site.Document(), []byte(`"max-body-bytes":1048576`), []byte(`"max-body-bytes":8388608`), 1))
	f.runSite(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	text := fmt.Sprintf(`address = %q
centre = "a"
platform = %q
fleet_secret = "sixteen bytes or more"

[relay]
enabled = true
frontend = %q
readiness = %q
discovery = %q
`, f.address(0, 0), f.site.Address(), f.address(0, 1), f.address(0, 2), f.address(0, 3))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], path)
	cmd.Env = append(os.Environ(), daemonVariable+"=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	c := f.visitor(0, imitator.Key)
	c.Body = strings.Repeat("x", uploadBytes)
	f.waitFor(t, "a stream is served", func() bool {
		_, err := c.Stream(t.Context(), "first", brokenEvents)
		return err == nil
	})
	return f, c
}

// breakAll breaks the answers of endpoints until the function that it returns is called.
func breakAll(site *imitator.Site, b imitator.Breakage, addresses []string) (end func()) {
	var ends []func()
	for _, address := range addresses {
		ends = append(ends, site.BreakAnswers(b, address))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// breakages are the names of the ways in which answers are broken.
var breakages = [imitator.Breakages]string{"status 000", "a blank in a name", "a blank after the length", "a blank after the encoding", "reset during the upload"}

// Guards against broken answers of servers in trouble that reach callers of a node that runs as a process:
// callers get a failure that is true or, where the request may run again, another server's answer.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	f, c := startProcess(t)
	site := f.site
	all := append(site.PlainAddresses(), append(site.EngineAddresses("a"), site.EngineAddresses("b")...)...)
	some := append(site.PlainAddresses()[:1], site.EngineAddresses("a")[:1]...)
	for b, name := range breakages {
		t.Run(name, func(t *testing.T) {
			end := breakAll(site, imitator.Breakage(b), all)
			record := recordCalls(t, site, c, fmt.Sprintf("all-%d", b))
			end()
			t.Logf("all are broken: %v", record)
			for outcome, n := range record {
				if strings.HasSuffix(outcome, " 200") {
					t.Errorf("all are broken: got %d of %q, want failures alone", n, outcome)
				}
			}
			f.awaitSound(t, c, fmt.Sprintf("sound-%d", b))
			end = breakAll(site, imitator.Breakage(b), some)
			record = recordCalls(t, site, c, fmt.Sprintf("some-%d", b))
			end()
			t.Logf("some are broken: %v", record)
			if record["look 200"] != brokenCalls || record["stream 200"] != brokenCalls {
				t.Errorf("some are broken: got %v, want whole answers of others to all that may run again", record)
			}
			f.awaitSound(t, c, fmt.Sprintf("sound-again-%d", b))
		})
	}
}

// awaitSound waits until requests of all kinds are served.
func (f *fleet) awaitSound(t *testing.T, c imitator.Caller, id string) {
	t.Helper()
	f.waitFor(t, "all are served after broken answers", func() bool {
		code, _, err := c.Call(t.Context(), http.MethodPost, "/book/1", id+"-book")
		_, streamErr := c.Stream(t.Context(), id, brokenEvents)
		return err == nil && code == http.StatusOK && streamErr == nil
	})
}

// recordCalls sends requests of all kinds and counts what their callers got. It reports answers that are
// neither whole nor true failures.
func recordCalls(t *testing.T, site *imitator.Site, c imitator.Caller, prefix string) map[string]int {
	t.Helper()
	record := make(map[string]int)
	for n := range brokenCalls {
		for _, kind := range []string{"look", "book"} {
			id := fmt.Sprintf("%s-%s-%d", prefix, kind, n)
			code, body, err := c.Call(t.Context(), http.MethodPost, "/"+kind+"/1", id)
			record[fmt.Sprintf("%s %d", kind, code)]++
			// The caller describes a long body by its start.
			switch want := fmt.Sprintf("POST /%s/1 by org: x", kind); {
			case err != nil || code < http.StatusOK:
				t.Errorf("%s: got status %d, %v, want an answer", id, code, err)
			case code == http.StatusOK && !strings.HasPrefix(body, want):
				t.Errorf("%s: got 200 with %.60q, want %q", id, body, want)
			case strings.Contains(body, "broken"):
				t.Errorf("%s: got status %d with the broken body %.60q", id, code, body)
			case code == http.StatusServiceUnavailable && site.Runs(id) > 0:
				t.Errorf("%s: got 503, which says that it did not run, and it ran %d times", id, site.Runs(id))
			}
			if runs := site.Runs(id); kind == "book" && runs > 1 {
				t.Errorf("%s: ran %d times, want at most once", id, runs)
			}
		}
		_, err := c.Stream(t.Context(), fmt.Sprintf("%s-stream-%d", prefix, n), brokenEvents)
		switch {
		case errors.Is(err, imitator.ErrCorruptStream):
			t.Errorf("stream: got %v, want whole events or a failure", err)
			record["stream corrupt"]++
		case err != nil:
			record["stream failed"]++
		default:
			record["stream 200"]++
		}
	}
	return record
}
