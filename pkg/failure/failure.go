// ================================================================
// The typed error of the whole system. Every error that can reach a caller,
// an operator or another process is a Failure of one of the kinds in the
// table of kinds.go.
//
// Why one type: a caller has to know two things before all else, whether
// anything ran and when to come back, and both must survive three hops. A
// wrapped Go error loses them at the first process border.
//
//	tidepost: not_ready: no ready replica of model "menu"; wait for
//	`tidepost status` to show one ready (nothing ran; come back in 2s)
// ================================================================

// Package failure holds the typed errors that cross process borders: what
// went wrong, whether anything ran, what to do, and when to come back.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ----------------------------------------------------------------
// Whether anything ran

// Ran says whether the request behind a failure may have run.
type Ran uint8

const (
	// NotRun means that no byte of the request reached an engine or service.
	NotRun Ran = iota
	// RanUnknown means that the request may have run.
	RanUnknown
	// RanYes means that the request did run, to its end or in part.
	RanYes
)

// String returns the word that callers read in the answer.
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

// New returns a failure of a kind, with the message made from format and
// arguments. Nothing ran, and the time to come back is the kind's own.
func New(kind Kind, format string, arguments ...any) *Failure {
	return &Failure{
		kind:       kind,
		message:    fmt.Sprintf(format, arguments...),
		retryAfter: kind.description().retryAfter,
	}
}

// WithRan returns a copy that says whether the request ran.
func (f *Failure) WithRan(ran Ran) *Failure {
	c := *f
	c.ran = ran
	return &c
}

// WithRetryAfter returns a copy with another time to come back.
func (f *Failure) WithRetryAfter(after time.Duration) *Failure {
	c := *f
	c.retryAfter = after
	return &c
}

// Kind returns the kind.
func (f *Failure) Kind() Kind { return f.kind }

// Message returns what went wrong, without the remedy.
func (f *Failure) Message() string { return f.message }

// Remedy returns what the reader can do about it.
func (f *Failure) Remedy() string { return f.kind.description().remedy }

// Ran says whether the request may have run.
func (f *Failure) Ran() Ran { return f.ran }

// RetryAfter returns when to come back; zero means that asking again with the
// same input will not help.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Status returns the HTTP status that callers get.
func (f *Failure) Status() int { return f.kind.description().status }

// Error returns message, remedy and outcome in one line.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s; %s", f.kind, f.message, f.Remedy())
	if f.retryAfter > 0 {
		text += fmt.Sprintf(" (come back in %s)", f.retryAfter)
	}
	return text
}

// Of finds the Failure in err. An error that holds none becomes an Internal
// failure with an unknown outcome, the one reading that is never a false
// "not run".
func Of(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return New(Internal, "%v", err).WithRan(RanUnknown)
}

// Is tells whether err holds a failure of the kind.
func Is(err error, kind Kind) bool {
	var f *Failure
	return errors.As(err, &f) && f.kind == kind
}

// ----------------------------------------------------------------
// Between processes

// EncodeMsgpack writes kind, message, outcome and time to come back.
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
