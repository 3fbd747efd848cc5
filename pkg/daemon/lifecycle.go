// ================================================================
// Log lines and events for the start, suspension and stop of a process, and the log of HTTP servers.
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

// LogStart records and logs that the process has started.
func (p *Process) LogStart() {
	id := p.Identity
	p.Recorder.Record(event.ProcessStarted, string(id.ID()), id.Address())
	_ = level.Info(p.Logger).Log("msg", "started", "address", id.Address(), "failure_domain", id.Domain(), "region", id.Region())
}

// LogSuspension logs that the VM resumed after it was suspended for the given time.
func (p *Process) LogSuspension(suspended time.Duration) {
	_ = level.Warn(p.Logger).Log("msg", "the VM was suspended", "suspended_ms", suspended.Milliseconds())
}

// LogStop records and logs that the process stops, with the error that caused it or nil, and closes
// the log.
func (p *Process) LogStop(err error) {
	p.Recorder.Record(event.ProcessStopped, string(p.Identity.ID()), "")
	_ = level.Info(p.Logger).Log("msg", "stopped", "err", err)
	p.CloseLog()
}

// CloseLog flushes queued log lines to standard output. Lines logged later are lost.
func (p *Process) CloseLog() {
	if p.lineWriter != nil {
		p.lineWriter.Close()
	}
}

// WaitSignal blocks until a signal arrives or the context ends. It returns nil.
func WaitSignal(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-ctx.Done():
	case <-signals:
	}
	return nil
}

// HTTPLog returns the error log of an HTTP server. It passes on panics of handlers, since net/http
// recovers them and only closes the connection. It drops all other lines, which report clients that
// disconnect.
func HTTPLog(logger log.Logger) *stdlog.Logger { return stdlog.New(panicWriter{logger}, "", 0) }

// panicWriter logs the panics that an HTTP server reports and drops everything else.
type panicWriter struct{ logger log.Logger }

// Write takes one log entry: a line, or the lines of a panic with its stack.
func (l panicWriter) Write(lines []byte) (int, error) {
	if bytes.Contains(lines, []byte("panic")) {
		_ = level.Error(l.logger).Log("msg", "panic", "cause", string(lines))
	}
	return len(lines), nil
}
