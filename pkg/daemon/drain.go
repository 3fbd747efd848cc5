// ================================================================
// The word that a process is to drain, by a signal or from an operator: recorded
// once, and waited for in one place, whatever a process does until it goes.
// ================================================================

package daemon

import (
	"context"
	"os"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
)

// Drain is the word that a process is to drain.
type Drain struct {
	process *Process
	started chan struct{}
}

// NewDrain returns a drain that has not begun.
func (p *Process) NewDrain() *Drain { return &Drain{process: p, started: make(chan struct{}, 1)} }

// Begin records why the process drains. It is to be called once.
func (d *Drain) Begin(reason string) {
	p := d.process
	p.Recorder.Record(event.ProcessDraining, string(p.Identity.ID()), reason)
	_ = level.Info(p.Logger).Log("msg", "draining", "reason", reason)
	d.started <- struct{}{}
}

// Await waits until the process drains, and returns false when it is to go at once
// instead. begin is called for a signal.
func (d *Drain) Await(ctx context.Context, signals <-chan os.Signal, begin func(reason string)) bool {
	select {
	case <-ctx.Done():
		return false
	case s := <-signals:
		if s == os.Kill {
			return false
		}
		begin("signal " + s.String())
	case <-d.started:
	}
	return true
}
