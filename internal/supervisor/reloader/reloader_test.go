package reloader

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
)

// settings returns a settings file with a discovery TTL.
func settings(ttl string) string {
	return strings.ReplaceAll(`
address = "127.0.0.1:1"
centre = "a"
platform = "127.0.0.1:2"
fleet_secret = "sixteen bytes or more"
[relay]
enabled = true
frontend = "127.0.0.1:3"
readiness = "127.0.0.1:4"
discovery = "127.0.0.1:5"
discovery_ttl = "TTL"
`, "TTL", ttl)
}

// start writes a settings file and runs a reloader on it until the test ends.
func start(t *testing.T) (*Reloader, string) {
	path := filepath.Join(t.TempDir(), "node.toml")
	write(t, path, settings("1s"))
	first, err := loader.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	r := New(Config{Path: path, Hangups: hangups, Initial: first, Recorder: recorder.Nop()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Step().Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r, path
}

func write(t *testing.T, path, text string) {
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// eventually waits until the discovery TTL in force is as wanted.
func eventually(t *testing.T, r *Reloader, want time.Duration) {
	t.Helper()
	for range 500 {
		if r.Settings().Relay.DiscoveryTTL.Duration == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %v, want %v", r.Settings().Relay.DiscoveryTTL, want)
}

func TestChangedFileIsRead(t *testing.T) {
	r, path := start(t)
	write(t, path, settings("2500ms"))
	eventually(t, r, 2500*time.Millisecond)
}

func TestHangupReadsTheFile(t *testing.T) {
	r, path := start(t)
	write(t, path, settings("3s"))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	eventually(t, r, 3*time.Second)
}

func TestFaultyFileChangesNothing(t *testing.T) {
	r, path := start(t)
	write(t, path, settings("soon"))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if got, want := r.Settings().Relay.DiscoveryTTL.Duration, time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	write(t, path, settings("4s"))
	eventually(t, r, 4*time.Second)
}
