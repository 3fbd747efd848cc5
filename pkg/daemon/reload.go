// ================================================================
// Settings that may change while a process runs. The file is reloaded on SIGHUP and when its
// modification time changes. If the file is invalid, the error is logged and the old value stays.
// ================================================================

package daemon

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// filePollInterval is the time between checks of the file's modification time.
const filePollInterval = 2 * time.Second

// Reloadable is a value from a settings file that is reloaded while the process runs. Get is safe
// for concurrent use.
type Reloadable[T any] struct {
	path   string
	read   func(path string) (T, error)
	logger log.Logger
	value  atomic.Pointer[T]
	hangup chan os.Signal
}

// NewReloadable returns a value that starts as first and is reloaded from path by read; with an
// empty path it never changes. It handles SIGHUP from now on, since a SIGHUP before Run would
// otherwise end the process or be missed.
func NewReloadable[T any](path string, first T, read func(path string) (T, error), logger log.Logger) *Reloadable[T] {
	r := &Reloadable[T]{path: path, read: read, logger: logger, hangup: make(chan os.Signal, 1)}
	r.value.Store(&first)
	signal.Notify(r.hangup, syscall.SIGHUP)
	return r
}

// Get returns the current value.
func (r *Reloadable[T]) Get() T { return *r.value.Load() }

// Run reloads the file on SIGHUP and when its modification time changes, until the context ends. It
// returns nil.
func (r *Reloadable[T]) Run(ctx context.Context) error {
	defer signal.Stop(r.hangup)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	last := r.modified()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.hangup:
			r.reload()
		case <-ticker.C:
			if at := r.modified(); !at.Equal(last) {
				last = at
				r.reload()
			}
		}
	}
}

func (r *Reloadable[T]) modified() time.Time {
	if r.path == "" {
		return time.Time{}
	}
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *Reloadable[T]) reload() {
	if r.path == "" {
		return
	}
	value, err := r.read(r.path)
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "reload failed", "err", err)
		return
	}
	r.value.Store(&value)
	_ = level.Info(r.logger).Log("msg", "reloaded", "settings", r.path)
}

// NewSeeds returns the addresses of the control nodes in the settings. They are reloaded with the
// settings file.
func NewSeeds[T interface{ Seeds() []string }](path string, first T, load func(path string) (T, error), logger log.Logger) *Reloadable[[]string] {
	return NewReloadable(path, first.Seeds(), func(path string) ([]string, error) {
		reloaded, err := load(path)
		return reloaded.Seeds(), err
	}, logger)
}
