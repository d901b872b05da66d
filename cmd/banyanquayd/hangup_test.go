package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"

	"banyanquay/platform/imitator"
)

// daemonVariable makes the test binary run the daemon instead of the tests, and
// stoppedStartVariable an application that gets SIGTERM while it starts.
const (
	daemonVariable       = "BANYANQUAY_TEST_RUNS_DAEMON"
	stoppedStartVariable = "BANYANQUAY_TEST_STOPS_AT_START"
)

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		main()
	}
	if address := os.Getenv(endpointVariable); address != "" {
		fmt.Println(imitator.RunPlainEndpoint(address))
		os.Exit(1)
	}
	if address := os.Getenv(departingVariable); address != "" {
		fmt.Println(imitator.RunDepartingEndpoint(address))
		os.Exit(1)
	}
	if os.Getenv(stoppedStartVariable) != "" {
		os.Exit(serve(fx.New(fx.NopLogger, fx.Invoke(stopAtStart))))
	}
	os.Exit(m.Run())
}

// stoppedText is what an application prints that is stopped in order.
const stoppedText = "stopped in order"

// stopAtStart sends SIGTERM to this process while its application starts.
func stopAtStart(lc fx.Lifecycle) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				return err
			}
			// The signal's default action needs a moment to end the process.
			time.Sleep(100 * time.Millisecond)
			return nil
		},
		OnStop: func(context.Context) error {
			_, err := fmt.Println(stoppedText)
			return err
		},
	})
}

// Guards against a process that SIGTERM ends because it is still starting: it may have accepted
// requests already, and doesn't take itself out of service.
func TestTerminationDuringTheStart(t *testing.T) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), stoppedStartVariable+"=1")
	out, err := cmd.Output()
	if err != nil || !strings.Contains(string(out), stoppedText) {
		t.Errorf("got %q, %v, want a process that stops in order", out, err)
	}
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
