package commander

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"banyanquay/internal/describer"
	"banyanquay/internal/recorder"
	"banyanquay/internal/refuser"
)

// result is the outcome of one run of the tool.
type result struct {
	exit           ExitCode
	stdout, stderr string
}

// run runs the tool with the URLs of nodes.
func run(t *testing.T, nodes []string, args ...string) result {
	t.Helper()
	var stdout, stderr strings.Builder
	full := []string{"--key", "k"}
	for _, node := range nodes {
		full = append(full, "--node", node)
	}
	c := New(Config{Stdout: &stdout, Stderr: &stderr, PollInterval: time.Millisecond})
	exit := c.Run(t.Context(), append(full, args...))
	return result{exit, stdout.String(), stderr.String()}
}

// want checks the exit code of a run and substrings of its output.
func (r result) want(t *testing.T, exit ExitCode, parts ...string) {
	t.Helper()
	if r.exit != exit {
		t.Errorf("got exit code %d, want %d: %s", r.exit, exit, r.stderr)
	}
	for _, part := range parts {
		if !strings.Contains(r.stdout+r.stderr, part) {
			t.Errorf("got %q and %q, want %q in one", r.stdout, r.stderr, part)
		}
	}
}

// serve starts a server with handlers by path.
func serve(t *testing.T, paths map[string]http.HandlerFunc) string {
	m := http.NewServeMux()
	for path, h := range paths {
		m.HandleFunc(path, h)
	}
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return s.URL
}

// respondWith responds with a fixed body.
func respondWith(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { printf(w, "%s", body) }
}

// closedPort returns an address at which nothing listens.
func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// writeTemplate writes a template file with a share.
func writeTemplate(t *testing.T, share string) string {
	name := filepath.Join(t.TempDir(), "acme.toml")
	body := "name = \"acme\"\nshare = " + share + "\nkey_hashes = [\"" + describer.HashKey("x") +
		"\"]\nmodel = {name = \"m\", version = \"1\"}\n"
	if err := os.WriteFile(name, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestPublish(t *testing.T) {
	var headers []http.Header
	publish := func(w http.ResponseWriter, r *http.Request) {
		headers = append(headers, r.Header)
		if r.Header.Get("If-Match") == `"9"` {
			refuser.New(refuser.LogUnavailable, "c7 may yet be accepted").WithRan(refuser.Maybe).WithWait(2 * time.Second).Write(w)
			return
		}
		if r.Header.Get("If-Match") == `"3"` {
			refuser.New(refuser.Conflict, "acme is at revision 4").Write(w)
			return
		}
		printf(w, `{"id": "c1", "revision": 5, "offset": 7}`)
	}
	polls := 0
	stalled := false
	offsets := func(w http.ResponseWriter, _ *http.Request) {
		if !stalled {
			polls++
		}
		printf(w, `{"nodes": [{"address": "n1:1", "applied": 8}, {"address": "n2:1", "applied": %d}]}`, 6+polls)
	}
	node := serve(t, map[string]http.HandlerFunc{
		"PUT /v1/admin/organisations/acme": publish, "GET /v1/admin/offsets": offsets,
	})
	nodes := []string{"http://" + closedPort(t), node}
	run(t, nodes, "publish", writeTemplate(t, "0.5"), "--base", "4", "--note", "why").want(t, OK, "acme accepted at revision 5")
	if got := headers[0]; got.Get("If-Match") != `"4"` || got.Get("Note") != "why" || got.Get("Authorization") != "Bearer k" {
		t.Errorf("got headers %v", got)
	}
	run(t, nodes, "publish", writeTemplate(t, "0.5"), "--wait").want(t, OK, "in force at 1 of 2 nodes", "in force at every live node")
	polls, stalled = 0, true
	run(t, nodes, "publish", writeTemplate(t, "0.5"), "--wait", "--timeout", "500ms").want(t, Failed, "not yet in force at n2:1")
	run(t, nodes, "publish", writeTemplate(t, "0.5"), "--base", "3").want(t, Conflicted, "6001", "history acme")
	run(t, nodes, "publish", writeTemplate(t, "0.5"), "--base", "9").want(t, Failed, "ran: maybe", "c7", "Retry-After: 2 s")
	run(t, nodes, "publish", writeTemplate(t, "7")).want(t, Failed, "share: 7 is not")
	run(t, nodes[:1], "publish", writeTemplate(t, "0.5")).want(t, Unreachable, "--node")
	run(t, nodes, "publish").want(t, Usage, "FILE or --remove")
	run(t, nodes, "publish", "--remove", "acme").want(t, Usage, "--base")
}

func TestChangeIsNotSentTwice(t *testing.T) {
	var arrivals atomic.Int32
	broken := serve(t, map[string]http.HandlerFunc{"/": func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		panic(http.ErrAbortHandler)
	}})
	run(t, []string{broken, broken}, "publish", writeTemplate(t, "0.5")).want(t, Failed, "whether the request took effect is not known")
	run(t, []string{broken, broken}, "drain", "n:1").want(t, Failed, "not known")
	if got, want := arrivals.Load(), int32(2); got != want {
		t.Errorf("got %d arrivals, want %d", got, want)
	}
}

// stream responds with server-sent events.
func stream(events ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		printf(w, "%s\n\n", strings.Join(events, "\n\n"))
	}
}

// token returns a stream event with one token.
func token(sequence int, content string) string {
	return fmt.Sprintf(`data: {"sequence": %d, "choices": [{"delta": {"content": %q}}]}`, sequence, content)
}

func TestAsk(t *testing.T) {
	tests := map[string]struct {
		chat http.HandlerFunc
		exit ExitCode
		want string
	}{
		"complete":  {stream(token(0, "two "), ": comment", token(1, "crates"), "data: [DONE]"), OK, "two crates\n"},
		"cut off":   {stream(token(0, "two "), token(1, "crates")), Failed, "output is incomplete"},
		"jumps":     {stream(token(0, "two "), token(2, "crates"), "data: [DONE]"), Failed, "jumps to sequence 2"},
		"repeats":   {stream(token(0, "two "), token(0, "two "), "data: [DONE]"), Failed, "jumps to sequence 0"},
		"error":     {stream(token(0, "two "), "event: error\ndata: {\"code\": 5006, \"name\": \"stream_broken\"}"), Failed, "5006"},
		"garbage":   {stream("data: {"), Failed, "reading the stream"},
		"refused":   {func(w http.ResponseWriter, _ *http.Request) { refuser.New(refuser.OverShare, "").Write(w) }, Failed, "3001"},
		"foreign":   {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x", http.StatusBadGateway) }, Failed, "not from a banyanquay node"},
		"no answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, Failed, "not known"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int32
			good := serve(t, map[string]http.HandlerFunc{"POST /v1/chat/completions": func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				tt.chat(w, r)
			}})
			leaving := serve(t, map[string]http.HandlerFunc{"POST /v1/chat/completions": func(w http.ResponseWriter, _ *http.Request) {
				refuser.New(refuser.Leaving, "").WithAddresses([]string{strings.TrimPrefix(good, "http://")}).Write(w)
			}})
			addresses := fmt.Sprintf(`{"addresses": [%q, %q]}`, closedPort(t), strings.TrimPrefix(leaving, "http://"))
			entryNode := serve(t, map[string]http.HandlerFunc{"GET /v1/addresses": respondWith(addresses)})
			run(t, []string{entryNode}, "ask", "how many?").want(t, tt.exit, tt.want)
			if got, want := arrivals.Load(), int32(1); got != want {
				t.Errorf("got %d arrivals, want %d", got, want)
			}
		})
	}
}

func TestHistoryListsChanges(t *testing.T) {
	node := serve(t, map[string]http.HandlerFunc{"GET /v1/admin/organisations/acme/history": respondWith(
		`{"changes": [{"id": "c7", "revision": 2, "at": 1000, "operator": "ann", "removed": true}]}`)})
	run(t, []string{node}, "history", "acme").want(t, OK, "1970-01-01T00:00:01Z", "ann", "removed", "c7")
}

func TestDiffShowsFields(t *testing.T) {
	node := serve(t, map[string]http.HandlerFunc{"GET /v1/admin/organisations/acme": respondWith(`{"revision": 3, "template": {
		"name": "acme", "share": 0.25, "key_hashes": ["` + describer.HashKey("x") + `"], "model": {"name": "m", "version": "1"}}}`)})
	run(t, []string{node}, "diff", writeTemplate(t, "0.5")).want(t, OK, "at revision 3, 1 fields differ", "share: 0.25 -> 0.5")
	run(t, []string{node}, "--json", "diff", writeTemplate(t, "0.25")).want(t, OK, `"differences":[]`)
}

func TestDrainWaitsUntilTheProcessHasEnded(t *testing.T) {
	ends := map[string]string{
		"not listed":      `{"nodes": []}`,
		"listed as down":  `{"nodes": [{"address": "n:1", "incarnation": "a", "state": "down", "down": true}]}`,
		"started afresh":  `{"nodes": [{"address": "n:1", "incarnation": "b", "state": "live"}]}`,
		"never ends":      `{"nodes": [{"address": "n:1", "incarnation": "a", "state": "unreachable"}]}`,
		"drains no other": `{"nodes": [{"address": "n:1", "incarnation": "a", "state": "live"}, {"address": "n:2", "down": true}]}`,
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			answers := []string{
				`{"nodes": [{"address": "n:1", "incarnation": "a", "state": "live"}]}`,
				`{"nodes": [{"address": "n:1", "incarnation": "a", "state": "leaving"}]}`,
				end,
			}
			node := serve(t, map[string]http.HandlerFunc{
				"POST /v1/admin/nodes/{address}/drain": respondWith("{}"),
				"GET /v1/admin/nodes": func(w http.ResponseWriter, _ *http.Request) {
					printf(w, "%s", answers[0])
					answers = answers[min(1, len(answers)-1):]
				},
			})
			got := run(t, []string{node}, "--json", "drain", "n:1", "--wait", "--timeout", "200ms")
			if strings.HasPrefix(name, "never") || strings.HasPrefix(name, "drains") {
				got.want(t, Failed, "n:1 is leaving", `"gone":false`, "has not left")
			} else {
				got.want(t, OK, "n:1 is leaving", `{"node":"n:1","gone":true}`)
			}
		})
	}
}

func TestRestoreNeedsConfirmation(t *testing.T) {
	node := serve(t, map[string]http.HandlerFunc{"POST /v1/admin/restore": respondWith(`{"id": "r1", "revision": 9, "offset": 8}`)})
	run(t, []string{node}, "restore").want(t, Usage, "--yes")
	run(t, []string{node, node}, "restore", "--yes").want(t, Usage, "exactly one --node")
	run(t, []string{node}, "restore", "--yes").want(t, OK, "revision 9")
}

func TestExplainAndCheck(t *testing.T) {
	run(t, nil, "explain", "6001").want(t, OK, "conflict", "What to do")
	run(t, nil, "explain", "400").want(t, OK, "configuration change applied")
	run(t, nil, "--json", "explain", "conflict").want(t, OK, `"number":6001`)
	for _, row := range refuser.Table() {
		for _, code := range []string{fmt.Sprint(int(row.Code)), row.Code.String()} {
			run(t, nil, "explain", code).want(t, OK, row.Code.String()+" (result code)", row.Title, row.Advice)
		}
	}
	for _, row := range recorder.Catalogue() {
		for _, event := range []string{fmt.Sprint(int(row.Event)), row.Event.String()} {
			run(t, nil, "explain", event).want(t, OK, row.Event.String()+" (log event)", row.Meaning, row.Advice)
		}
	}
	for _, unknown := range []string{"9", "nothing", "0"} {
		run(t, nil, "explain", unknown).want(t, Usage, "not a result code")
	}
	run(t, nil, "check", writeTemplate(t, "0.5")).want(t, OK, "no faults")
	run(t, nil, "check", writeTemplate(t, "5")).want(t, Failed, "1 faults", "share: 5")
	run(t, nil, "check", "/does/not/exist").want(t, Usage, "no such file")
}

func TestEveryCommandHasHelpWithExamples(t *testing.T) {
	commands := []string{"publish", "diff", "history", "orgs", "nodes", "endpoints", "drain", "ask", "explain", "check", "restore"}
	for _, command := range commands {
		got := run(t, nil, command, "--help")
		got.want(t, OK, "Usage: banyanquay "+command, "Examples:\n  ")
		if strings.Contains(got.stdout, "[default: k]") {
			t.Errorf("the help text shows the key: %s", got.stdout)
		}
	}
	run(t, nil).want(t, Usage, "missing subcommand")
	run(t, nil, "dance").want(t, Usage, "invalid subcommand")
	run(t, []string{"ftp://x"}, "orgs").want(t, Usage, "is not a URL")
}
