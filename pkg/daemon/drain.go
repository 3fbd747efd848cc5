// ================================================================
// The start of a drain, requested by a signal or by an operator. It is recorded in one place for
// all daemons.
// ================================================================

package daemon

import (
	"context"
	"os"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
)

// Drain records and signals that a process starts to drain.
type Drain struct {
	process *Process
	started chan struct{}
}

// NewDrain returns a drain that has not started.
func (p *Process) NewDrain() *Drain { return &Drain{process: p, started: make(chan struct{}, 1)} }

// Begin records the reason of the drain and unblocks Await. Call it at most once.
func (d *Drain) Begin(reason string) {
	p := d.process
	p.Recorder.Record(event.ProcessDraining, string(p.Identity.ID()), reason)
	_ = level.Info(p.Logger).Log("msg", "draining", "reason", reason)
	d.started <- struct{}{}
}

// Await blocks until the drain starts and returns true. It returns false if the process should stop
// without draining: the context ended or os.Kill arrived on signals. On any other signal it calls
// begin, which should call Begin.
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
