package spawner

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func startProcess(t *testing.T, script string) *Process {
	p := New(Config{Name: "p", Program: "/bin/sh", Args: []string{"-c", script}, Log: filepath.Join(t.TempDir(), "log")})
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

func TestUnexpectedExits(t *testing.T) {
	cases := []struct {
		name   string
		script string
		signal syscall.Signal
		want   string
	}{
		{"by itself", "exit 0", 0, "by itself"},
		{"killed", "sleep 9", syscall.SIGKILL, ""},
		{"signalled, with success", "trap 'exit 0' TERM; while :; do sleep 0.01; done", syscall.SIGTERM, ""},
		{"signalled, with a failure", "trap 'exit 3' TERM; while :; do sleep 0.01; done", syscall.SIGTERM, "failure"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := startProcess(t, c.script)
			if c.signal != 0 {
				time.Sleep(100 * time.Millisecond)
				p.Signal(c.signal)
			}
			if !p.Await(5 * time.Second) {
				t.Fatal("the process did not end")
			}
			got := strings.Join(p.Failures(), " ")
			if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
				t.Errorf("faults: got %q, want %q in it", got, c.want)
			}
		})
	}
}

func TestPause(t *testing.T) {
	p := startProcess(t, "sleep 9")
	p.Signal(syscall.SIGSTOP)
	if p.Running() {
		t.Errorf("a paused process counts as running")
	}
	p.Signal(syscall.SIGCONT)
	if !p.Running() {
		t.Errorf("a process that goes on doesn't count as running")
	}
}
