package commander

import (
	"encoding/json"
	"net/http"
	"testing"

	"banyanquay/internal/refuser"
)

// remoteCommands returns the arguments of the subcommands that send requests to a
// node.
func remoteCommands(t *testing.T) map[string][]string {
	return map[string][]string{
		"publish":   {"publish", writeTemplate(t, "0.5")},
		"remove":    {"publish", "--remove", "acme", "--base", "4"},
		"diff":      {"diff", writeTemplate(t, "0.5")},
		"history":   {"history", "acme"},
		"restore":   {"restore", "--yes"},
		"orgs":      {"orgs"},
		"nodes":     {"nodes"},
		"endpoints": {"endpoints"},
		"bound":     {"endpoints", "--bound"},
		"drain":     {"drain", "n:1"},
		"ask":       {"ask", "how many?"},
	}
}

// healthyNode starts a node at which every subcommand succeeds.
func healthyNode(t *testing.T) string {
	change := respondWith(`{"id": "c1", "revision": 5, "offset": 7}`)
	document := respondWith(`{"revision": 3, "template": {"name": "acme", "share": 0.25}}`)
	paths := map[string]http.HandlerFunc{
		"PUT /v1/admin/organisations/acme":         change,
		"DELETE /v1/admin/organisations/acme":      change,
		"GET /v1/admin/organisations/acme":         document,
		"GET /v1/admin/organisations/acme/history": respondWith(`{"changes": []}`),
		"POST /v1/admin/restore":                   change,
		"GET /v1/admin/organisations":              respondWith(`{"organisations": []}`),
		"GET /v1/admin/nodes":                      respondWith(`{"nodes": [{"address": "n:1", "incarnation": "a"}]}`),
		"GET /v1/admin/endpoints":                  respondWith(`{"endpoints": []}`),
		"GET /v1/admin/bound":                      respondWith(`{"models": [{"model": "durum", "version": "v1", "tokens_per_second": 12.5}]}`),
		"POST /v1/admin/nodes/{address}/drain":     respondWith("{}"),
		"POST /v1/chat/completions":                stream(token(0, "two"), "data: [DONE]"),
	}
	paths["GET /v1/addresses"] = func(w http.ResponseWriter, r *http.Request) {
		printf(w, `{"addresses": [%q]}`, r.Host)
	}
	return serve(t, paths)
}

func TestEveryCommandPrintsJSON(t *testing.T) {
	node := healthyNode(t)
	commands := remoteCommands(t)
	commands["explain"] = []string{"explain", "6001"}
	commands["check"] = []string{"check", writeTemplate(t, "0.5")}
	for name, args := range commands {
		t.Run(name, func(t *testing.T) {
			got := run(t, []string{node}, append([]string{"--json"}, args...)...)
			got.want(t, OK)
			if !json.Valid([]byte(got.stdout)) || got.stdout == "" {
				t.Errorf("got %q, want JSON", got.stdout)
			}
		})
	}
}

func TestExitCodesOfEveryCommand(t *testing.T) {
	refusing := func(code refuser.Code) string {
		return serve(t, map[string]http.HandlerFunc{"/": func(w http.ResponseWriter, _ *http.Request) {
			refuser.New(code, "by the test").Write(w)
		}})
	}
	nodes := map[string]struct {
		url  string
		exit ExitCode
	}{
		"good":        {healthyNode(t), OK},
		"refused":     {refusing(refuser.WrongCredential), Failed},
		"conflict":    {refusing(refuser.Conflict), Conflicted},
		"unreachable": {"http://" + closedPort(t), Unreachable},
	}
	for command, args := range remoteCommands(t) {
		for name, node := range nodes {
			t.Run(command+" "+name, func(t *testing.T) {
				run(t, []string{node.url}, args...).want(t, node.exit)
			})
		}
		t.Run(command+" usage", func(t *testing.T) {
			run(t, []string{healthyNode(t)}, append(args, "--no-such-flag")...).want(t, Usage, "no-such-flag")
		})
	}
}

func TestBoundIsShown(t *testing.T) {
	run(t, []string{healthyNode(t)}, "endpoints", "--bound").want(t, OK, "TOKENS/S", "durum", "v1", "12.5")
}
