// Package spawner runs programs as processes of their own, signals them by their
// IDs, and records those that exit unexpectedly or use more memory than they may.
package spawner

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Config configures a process.
type Config struct {
	// Name identifies the process in reports.
	Name string
	// Program and Args are the command.
	Program string
	Args    []string
	// Log is the file to which its output is appended.
	Log string
	// MemoryLimit is the resident memory, in bytes, above which a process is reported as a
	// failure; 0 means that there is no limit.
	MemoryLimit int64
}

// Process is a program that can be started again each time it has ended. It is safe
// for concurrent use.
type Process struct {
	cfg Config

	mu sync.Mutex
	// cmd is nil while the program doesn't run, and done is closed when it has
	// ended.
	cmd  *exec.Cmd
	done chan struct{}
	// signalled is set once the process was sent a signal to end.
	signalled bool
	// paused is set while it is stopped by a signal.
	paused bool
	// failures describes exits without such a signal, exits with an error after it, and
	// processes over their limit of memory.
	failures []string
	// peak is the largest resident memory so far, in bytes.
	peak int64
}

// New returns a process that is not started yet.
func New(cfg Config) *Process { return &Process{cfg: cfg} }

// Name returns the name of the process.
func (p *Process) Name() string { return p.cfg.Name }

// Start starts the program unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.cfg.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(p.cfg.Program, p.cfg.Args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting %s", p.cfg.Name)
	}
	p.cmd, p.signalled, p.paused, p.done = cmd, false, false, make(chan struct{})
	go p.wait(cmd, p.done)
	go p.watchMemory(cmd.Process.Pid, p.done)
	return nil
}

// wait records the end of the process.
func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	if !p.signalled {
		p.failures = append(p.failures, p.cfg.Name+" ended by itself: "+cmd.ProcessState.String())
	} else if err != nil && cmd.ProcessState.Exited() {
		p.failures = append(p.failures, p.cfg.Name+" ended with a failure: "+cmd.ProcessState.String())
	}
	p.cmd = nil
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.signalled = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	_ = p.cmd.Process.Signal(sig)
}

// Running reports whether the process runs and is not paused.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.paused
}

// Await waits for the end of the process and reports whether it ended within d.
func (p *Process) Await(d time.Duration) bool {
	p.mu.Lock()
	done, runs := p.done, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// Kill kills the process, even if it is paused.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.Await(time.Second)
}

// Failures describes exits that no termination signal preceded, exits with an error after
// such a signal, and processes over their limit of memory.
func (p *Process) Failures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.failures...)
}
