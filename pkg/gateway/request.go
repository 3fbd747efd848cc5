// ================================================================
// One request on its way: what it is, how long it may take, and what became of
// each attempt.
// ================================================================

package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/suspension"
)

// request is one caller's request.
type request struct {
	ctx            context.Context // ends when the caller leaves, and before the head when the gateway stops
	detachFromStop func() bool     // lets it go on beyond the stop
	writer         http.ResponseWriter
	incoming       *http.Request
	head           RequestHead
	model          string // the one asked for, or the only one there is; empty for plain services
	route          *serviceconfig.Route
	service        *serviceconfig.Service
	organisation   string
	urgency        int
	header         http.Header // passed on
	body           []byte
	fingerprint    quarantine.Fingerprint // of what it asks; empty until the body is read
	configNumber   uint64                 // of the configuration that it was routed by

	refusedBefore bool // the caller was refused before

	stop            *gracefulStop // of the gateway
	started         time.Time
	readAt          time.Time         // its last byte
	deadline        time.Time         // of the answer: the caller's or the route's, if the VM is not suspended
	suspension      *suspension.Watch // nil where nobody looks
	suspendedBefore time.Duration     // by when it started
	work            time.Duration     // what it takes of an engine's time
	prefill         time.Duration
	maxRun          time.Duration // from its first turn at an engine to its last event, at the most

	tried map[*backend]bool // not to be sent to again
	sent  int               // attempts that reached a backend server
	ranAt map[*backend]bool // where those of them were that may have run
	// retryTaken says that the repeat of the next attempt is out of the budget already.
	retryTaken         atomic.Bool
	reserved           atomic.Pointer[backend]      // granted a place for the next attempt; nil for none
	interrupted        atomic.Pointer[interruption] // since the last log line
	borrowed           bool                         // that repeat counts at another gateway, or not at all
	unknownOutcomes    int                          // attempts whose outcome is not known
	rejections         int                          // attempts that a server turned away while the stream was under way
	knownServerExits   int                          // of servers under this request, when it was sent last
	build              string                       // of the server that it was sent to last
	avoid              []string                     // builds that it may not be sent to
	permit             *permit                      // to be sent to a backend server that names a limit; nil for none
	blockedByLimits    bool                         // limits of backend servers alone kept it from all of them
	isTrial            bool                         // it is barred, and tried once on another build
	fallback           *bufferedResponse
	liveness           sign   // of what became of the backend server where the last attempt broke
	mayHaveRun         bool   // an attempt's outcome is unknown, or it ran
	headWritten        bool   // the answer's head was written to the caller
	lastEvent          string // the last event that the caller has
	lastAttempt        string // how the last attempt ended, for the log
	lastBackend        string // where it went last
	timeToFirstByte    time.Duration
	timeToLastSend     time.Duration // from the start to the last sending
	lastEventAt        time.Time     // of the last event passed on
	maxPause           time.Duration // the longest between two events passed on
	firstEventForecast time.Duration // of the first event, by the stager that granted a place
	runLostAt          time.Time     // when a run of it was lost behind a silent connection; zero where none was
	versionExpiry      lapse         // of the version at the last backend server, as known when it was sent there
}

// localDeadline is the deadline by the clock here, which stands still while the VM is suspended and
// the caller's does not.
func (q *request) localDeadline() time.Time {
	if q.suspension == nil {
		return q.deadline
	}
	return q.deadline.Add(q.suspendedBefore - q.suspension.Total())
}

// remaining is how much of the time is left.
func (q *request) remaining() time.Duration { return time.Until(q.localDeadline()) }

// isRetryable tells whether the request may be sent once more.
func (q *request) isRetryable() bool { return !q.mayHaveRun || q.route.Idempotent() }

// hasNoServerLeft tells whether no backend server is left to send the request to: it may have run at
// as many as its route allows, and may not go back to any of them.
func (q *request) hasNoServerLeft() bool {
	if len(q.ranAt) < q.route.Attempts() {
		return false
	}
	for b := range q.ranAt {
		if !q.tried[b] {
			return false
		}
	}
	return true
}

// isLastServerAt tells whether an attempt at a backend server is the last one that the route
// allows, but for going back.
func (q *request) isLastServerAt(b *backend) bool {
	ranAt := len(q.ranAt)
	if !q.ranAt[b] {
		ranAt++
	}
	return ranAt >= q.route.Attempts()
}

// loadSlowdown is what a request takes at a full engine, which reads the prompts of others
// between its words, over what it takes by itself.
const loadSlowdown = 1.5

// estimateWork fills in how much work the request is for an engine.
func (q *request) estimateWork() {
	e := q.service.Engine()
	if e.Slots() == 0 {
		q.work = unitWork
		return
	}
	prompt, answer := q.head.PromptTokens, q.head.AnswerTokens
	if prompt == 0 {
		prompt = e.UsualPrompt()
	}
	if answer == 0 {
		answer = e.UsualAnswer()
	}
	q.prefill = e.Reading(prompt)
	q.maxRun = time.Duration(loadSlowdown * float64(q.prefill+time.Duration(answer)*e.Step()))
	if q.head.ExpectedTokens > 0 {
		answer = min(answer, q.head.ExpectedTokens)
	}
	q.work = q.prefill + time.Duration(answer)*e.Step()/time.Duration(e.Slots())
}

// recordEvents notes that events come, and how long none had come before.
func (q *request) recordEvents(now time.Time) {
	if !q.lastEventAt.IsZero() {
		q.maxPause = max(q.maxPause, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
}

// setWriteDeadline bounds the next write. An answer that is ready is written also where the
// process stood still until long after the deadline.
func (q *request) setWriteDeadline() {
	bound := time.Now()
	if due := q.localDeadline(); due.After(bound) {
		bound = due
	}
	// A connection that takes no bounds shows in the write.
	_ = http.NewResponseController(q.writer).SetWriteDeadline(bound.Add(writeGrace))
}

// recordFirstByte notes when the first byte of the answer goes out.
func (q *request) recordFirstByte() {
	if q.timeToFirstByte == 0 {
		q.timeToFirstByte = time.Since(q.started)
	}
}
