// ================================================================
// The lines that every process writes at its start and stop, and the end on a
// signal.
// ================================================================

package daemon

import (
	"context"
	"io"
	stdlog "log"
	"os"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
)

// LogStart notes that the process runs.
func (p *Process) LogStart() {
	id := p.Identity
	p.Recorder.Record(event.ProcessStarted, string(id.ID()), id.Address())
	_ = level.Info(p.Logger).Log("msg", "started", "address", id.Address(), "failure_domain", id.Domain(), "region", id.Region())
}

// LogStop notes that the process ends.
func (p *Process) LogStop(err error) {
	p.Recorder.Record(event.ProcessStopped, string(p.Identity.ID()), "")
	_ = level.Info(p.Logger).Log("msg", "stopped", "err", err)
	p.CloseLog()
}

// CloseLog writes the last log lines.
func (p *Process) CloseLog() {
	if p.lines != nil {
		p.lines.Close()
	}
}

// WaitSignal returns on a signal or when the context ends.
func WaitSignal(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
	case <-signals:
	}
	return nil
}

// QuietLog is for HTTP servers: what they write about clients that break off
// is no news.
func QuietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }
