// ================================================================
// Settings that may change while a process runs: the file is read again on
// SIGHUP, and when it is found changed. A file that is wrong is logged and the
// old value stays.
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

// filePollInterval is the time between looks at the file.
const filePollInterval = 2 * time.Second

// Reloadable is a value of a settings file that may change.
type Reloadable[T any] struct {
	path   string
	read   func(path string) (T, error)
	logger log.Logger
	value  atomic.Pointer[T]
	hangup chan os.Signal
}

// NewReloadable returns a value read from path; an empty path never changes. From now on
// SIGHUP is taken: one that came before Run would end the process.
func NewReloadable[T any](path string, first T, read func(path string) (T, error), logger log.Logger) *Reloadable[T] {
	r := &Reloadable[T]{path: path, read: read, logger: logger, hangup: make(chan os.Signal, 1)}
	r.value.Store(&first)
	signal.Notify(r.hangup, syscall.SIGHUP)
	return r
}

// Get returns the newest value.
func (r *Reloadable[T]) Get() T { return *r.value.Load() }

// Run reads the file again when it is to be, until the context ends.
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

// NewSeeds returns the seeds that settings name, read again with them.
func NewSeeds[T interface{ Seeds() []string }](path string, first T, load func(path string) (T, error), logger log.Logger) *Reloadable[[]string] {
	return NewReloadable(path, first.Seeds(), func(path string) ([]string, error) {
		reloaded, err := load(path)
		return reloaded.Seeds(), err
	}, logger)
}
