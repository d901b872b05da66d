// Package reloader reloads the settings file on SIGHUP and when the file has
// changed.
package reloader

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
)

// pollInterval is the time between two checks of the file for changes.
const pollInterval = time.Second

// Config names the settings file and the settings loaded from it at the start.
type Config struct {
	// Path is the settings file.
	Path string
	// Hangups delivers each SIGHUP. The program handles the signal from its first
	// moment to its last, longer than a reloader runs.
	Hangups <-chan os.Signal
	// Initial holds the settings in force until the first reload.
	Initial  loader.Settings
	Recorder *recorder.Recorder
}

// Reloader holds the settings in force. A reload doesn't change the addresses and
// memory limits that the process uses; these are read at the start only.
type Reloader struct {
	cfg     Config
	current atomic.Pointer[loader.Settings]
	// lastState is the state of the file at the last read. Only the step's goroutine
	// uses it.
	lastState fileState
}

// New returns a reloader.
func New(cfg Config) *Reloader {
	r := &Reloader{cfg: cfg, lastState: readFileState(cfg.Path)}
	r.current.Store(&cfg.Initial)
	return r
}

// Settings returns the settings in force.
func (r *Reloader) Settings() loader.Settings { return *r.current.Load() }

// Step watches the file and SIGHUP until its context ends.
func (r *Reloader) Step() grouper.Step {
	return grouper.Step{Name: "reloader", Run: r.run}
}

func (r *Reloader) run(ctx context.Context) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		reason := "changed"
		select {
		case <-ctx.Done():
			return nil
		case <-r.cfg.Hangups:
			reason = "hangup"
		case <-poll.C:
			if state := readFileState(r.cfg.Path); state == r.lastState {
				continue
			}
		}
		r.lastState = readFileState(r.cfg.Path)
		r.reload(reason)
	}
}

// reload loads the file. If it is invalid, the settings in force stay.
func (r *Reloader) reload(reason string) {
	settings, err := loader.Load(r.cfg.Path)
	if err != nil {
		r.cfg.Recorder.Error(recorder.SettingsRejected, zap.String("why", reason), zap.Error(err))
		return
	}
	r.current.Store(&settings)
	r.cfg.Recorder.Info(recorder.SettingsReloaded, zap.String("why", reason))
}

// fileState identifies a version of a file by its modification time, in Unix
// nanoseconds, and its size in bytes.
type fileState struct {
	modified int64
	size     int64
}

// readFileState returns the current state of a file, or the zero fileState if the
// file can't be read.
func readFileState(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime().UnixNano(), size: info.Size()}
}
