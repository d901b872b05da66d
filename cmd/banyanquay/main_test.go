package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"banyanquay/internal/commander"
)

// check runs "banyanquay check --settings" on a file.
func check(t *testing.T, path string) (commander.ExitCode, string) {
	t.Helper()
	var out strings.Builder
	exit := commander.New(config(&out, &out)).Run(t.Context(), []string{"check", "--settings", path})
	return exit, out.String()
}

func TestCheckSettings(t *testing.T) {
	exit, out := check(t, "../../docs/examples/node.toml")
	if got, want := exit, commander.OK; got != want {
		t.Errorf("got exit code %d, want %d: %s", got, want, out)
	}
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("address = \"here\"\ncentre = \"dc1\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	exit, out = check(t, bad)
	if got, want := exit, commander.Failed; got != want {
		t.Errorf("got exit code %d, want %d: %s", got, want, out)
	}
	for _, want := range []string{"3 faults", "address: must be IP:port", "platform: ", "fleet_secret: "} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q in it", out, want)
		}
	}
}
