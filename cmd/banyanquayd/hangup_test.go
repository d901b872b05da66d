package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// daemonVariable makes the test binary run the daemon instead of the tests.
const daemonVariable = "BANYANQUAY_TEST_RUNS_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a process that SIGHUP ends because it is still starting: it reads its
// settings from a pipe here, so that the signal arrives just then.
func TestHangupDuringTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "--check", path)
	cmd.Env, cmd.Stderr = append(os.Environ(), daemonVariable+"=1"), os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	pipe := openPipe(t, path)
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// The signal's default action needs a moment to end the process.
	time.Sleep(100 * time.Millisecond)
	_, _ = pipe.WriteString("address = \"127.0.0.1:7001\"\ncentre = \"north\"\nplatform = \"http://127.0.0.1:7000\"\nfleet_secret = \"0123456789abcdef\"\n")
	_ = pipe.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("got %v, want a process that goes on", err)
	}
}

// openPipe opens a named pipe for writing once it has a reader.
func openPipe(t *testing.T, path string) *os.File {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return pipe
		}
		if !errors.Is(err, syscall.ENXIO) {
			t.Fatal(err)
		}
	}
	t.Fatalf("the settings were not read within %v", waitTimeout)
	return nil
}
