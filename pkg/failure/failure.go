// ================================================================
// The typed error of the whole system. Every error that can reach a caller, an operator or
// another process is a Failure of one of the kinds in the table of kinds.go.
//
// There is one type because a caller has to know first whether anything ran and when to
// retry, and both must survive three hops. A wrapped Go error loses them when it leaves the
// process.
//
//	tidepost: not_ready: no ready replica of model "menu"; retry later;
//	`tidepost status` shows which VMs are still loading (retry after 2s)
// ================================================================

// Package failure defines the typed errors that processes exchange: what went wrong,
// whether anything ran, what to do, and when to retry.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ----------------------------------------------------------------
// Whether anything ran

// Ran is whether the request behind a failure may have run.
type Ran uint8

const (
	// NotRun means that no byte of the request reached an engine or service.
	NotRun Ran = iota
	// RanUnknown means that the request may have run.
	RanUnknown
	// RanYes means that the request ran, completely or in part.
	RanYes
)

// String returns the outcome as it is written in responses.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case RanYes:
		return "ran"
	default:
		return "unknown"
	}
}

// ----------------------------------------------------------------
// The failure

// Failure is a typed error. Its zero value is not valid; use New.
type Failure struct {
	kind       Kind
	message    string
	ran        Ran
	retryAfter time.Duration
}

// New returns a failure of a kind, with a message from format and arguments, the outcome
// NotRun and the kind's default retry time.
func New(kind Kind, format string, arguments ...any) *Failure {
	return &Failure{
		kind:       kind,
		message:    fmt.Sprintf(format, arguments...),
		retryAfter: kind.description().retryAfter,
	}
}

// WithRan returns a copy with another outcome.
func (f *Failure) WithRan(ran Ran) *Failure {
	c := *f
	c.ran = ran
	return &c
}

// WithRetryAfter returns a copy with another retry time.
func (f *Failure) WithRetryAfter(after time.Duration) *Failure {
	c := *f
	c.retryAfter = after
	return &c
}

// Kind returns the kind of the failure.
func (f *Failure) Kind() Kind { return f.kind }

// Message returns the description of what went wrong, without the remedy.
func (f *Failure) Message() string { return f.message }

// Remedy returns the kind's advice to the caller or operator.
func (f *Failure) Remedy() string { return f.kind.description().remedy }

// Ran returns whether the request may have run.
func (f *Failure) Ran() Ran { return f.ran }

// RetryAfter returns the time after which to retry; zero means that a retry with the same
// input will not help.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Status returns the HTTP status of the response.
func (f *Failure) Status() int { return f.kind.description().status }

// Error returns kind, message, remedy and retry time in one line.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s; %s", f.kind, f.message, f.Remedy())
	if f.retryAfter > 0 {
		text += fmt.Sprintf(" (retry after %s)", f.retryAfter)
	}
	return text
}

// Of returns the Failure in err. An error without one becomes an Internal failure with an
// unknown outcome, so that it is never reported as not run by mistake.
func Of(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return New(Internal, "%v", err).WithRan(RanUnknown)
}

// Is reports whether err contains a failure of the kind.
func Is(err error, kind Kind) bool {
	var f *Failure
	return errors.As(err, &f) && f.kind == kind
}

// ----------------------------------------------------------------
// Encoding between processes

// EncodeMsgpack writes kind, message, outcome and retry time.
func (f *Failure) EncodeMsgpack(e *msgpack.Encoder) error {
	return e.EncodeMulti(string(f.kind), f.message, uint8(f.ran), f.retryAfter)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (f *Failure) DecodeMsgpack(d *msgpack.Decoder) error {
	var kind string
	var ran uint8
	if err := d.DecodeMulti(&kind, &f.message, &ran, &f.retryAfter); err != nil {
		return err
	}
	f.kind = Kind(kind)
	f.ran = min(Ran(ran), RanYes)
	return nil
}
