package main

import (
	"os"
	"path/filepath"
	"testing"
)

func TestCheckExitCodes(t *testing.T) {
	const good = `address = "127.0.0.1:7001"
centre = "north"
platform = "http://127.0.0.1:7000"
fleet_secret = "0123456789abcdef"
`
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"good":          {good, 0},
		"unknown field": {"colour = 1\n" + good, 2},
		"empty":         {"", 2},
		"syntax":        {"address", 2},
	} {
		path := filepath.Join(t.TempDir(), "node.toml")
		if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := run(args{Settings: path, Check: true}, nil); got != tc.want {
			t.Errorf("%s: got exit code %d, want %d", name, got, tc.want)
		}
	}
	if got := run(args{Settings: "missing.toml", Check: true}, nil); got != 2 {
		t.Errorf("missing file: got exit code %d, want 2", got)
	}
}
