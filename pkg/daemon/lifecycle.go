// ================================================================
// The lines that every process writes at its start and stop, and the end on a
// signal.
// ================================================================

package daemon

import (
	"bytes"
	"context"
	stdlog "log"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
)

// LogStart notes that the process runs.
func (p *Process) LogStart() {
	id := p.Identity
	p.Recorder.Record(event.ProcessStarted, string(id.ID()), id.Address())
	_ = level.Info(p.Logger).Log("msg", "started", "address", id.Address(), "failure_domain", id.Domain(), "region", id.Region())
}

// LogSuspension notes that the VM goes on after it was suspended.
func (p *Process) LogSuspension(suspended time.Duration) {
	_ = level.Warn(p.Logger).Log("msg", "the VM was suspended", "suspended_ms", suspended.Milliseconds())
}

// LogStop notes that the process ends.
func (p *Process) LogStop(err error) {
	p.Recorder.Record(event.ProcessStopped, string(p.Identity.ID()), "")
	_ = level.Info(p.Logger).Log("msg", "stopped", "err", err)
	p.CloseLog()
}

// CloseLog writes the last log lines.
func (p *Process) CloseLog() {
	if p.lineWriter != nil {
		p.lineWriter.Close()
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

// HTTPLog is the log of an HTTP server. A handler's panic closes its connection, so it is
// told; what else servers write is about clients that break off, and is no news.
func HTTPLog(logger log.Logger) *stdlog.Logger { return stdlog.New(panicWriter{logger}, "", 0) }

// panicWriter passes on what a server writes of panics.
type panicWriter struct{ logger log.Logger }

// Write takes one line, or the several of a panic.
func (l panicWriter) Write(lines []byte) (int, error) {
	if bytes.Contains(lines, []byte("panic")) {
		_ = level.Error(l.logger).Log("msg", "panic", "cause", string(lines))
	}
	return len(lines), nil
}
