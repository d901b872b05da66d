// Package reloader reads the settings file again on SIGHUP and when the file
// has changed.
package reloader

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"banyanquay/internal/grouper"
	"banyanquay/internal/loader"
	"banyanquay/internal/recorder"
)

// pollInterval is the time between two looks at the file.
const pollInterval = time.Second

// Config says what to read.
type Config struct {
	// Path is the settings file.
	Path string
	// First are the settings in force at the start.
	First    loader.Settings
	Recorder *recorder.Recorder
}

// Reloader holds the settings in force. Addresses and limits of memory stay as
// they were at the start, whatever the file says later.
type Reloader struct {
	cfg     Config
	current atomic.Pointer[loader.Settings]
	hangups chan os.Signal
	// last is the state of the file that was read last; it belongs to the step.
	last mark
}

// New returns a reloader. From here on SIGHUP no longer ends the process.
func New(cfg Config) *Reloader {
	r := &Reloader{cfg: cfg, hangups: make(chan os.Signal, 1), last: stamp(cfg.Path)}
	r.current.Store(&cfg.First)
	signal.Notify(r.hangups, syscall.SIGHUP)
	return r
}

// Settings returns the settings in force.
func (r *Reloader) Settings() loader.Settings { return *r.current.Load() }

// Step follows the file until its context ends.
func (r *Reloader) Step() grouper.Step {
	return grouper.Step{Name: "reloader", Run: r.run}
}

func (r *Reloader) run(ctx context.Context) error {
	defer signal.Stop(r.hangups)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		why := "changed"
		select {
		case <-ctx.Done():
			return nil
		case <-r.hangups:
			why = "hangup"
		case <-poll.C:
			if now := stamp(r.cfg.Path); now == r.last {
				continue
			}
		}
		r.last = stamp(r.cfg.Path)
		r.reload(why)
	}
}

// reload reads the file; one with faults changes nothing.
func (r *Reloader) reload(why string) {
	settings, err := loader.Load(r.cfg.Path)
	if err != nil {
		r.cfg.Recorder.Error(recorder.SettingsRejected, zap.String("why", why), zap.Error(err))
		return
	}
	r.current.Store(&settings)
	r.cfg.Recorder.Info(recorder.SettingsReloaded, zap.String("why", why))
}

// mark tells two states of a file apart.
type mark struct {
	changed int64
	size    int64
}

// stamp returns the state of a file; the zero mark if it can't be read.
func stamp(path string) mark {
	info, err := os.Stat(path)
	if err != nil {
		return mark{}
	}
	return mark{changed: info.ModTime().UnixNano(), size: info.Size()}
}
