// ================================================================
// The state of one request: what it asks for, its deadline and the result of each attempt.
// ================================================================

package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/suspension"
)

// request is one caller's request.
type request struct {
	ctx            context.Context // ends when the caller disconnects, or when the gateway stops before the response head
	detachFromStop func() bool     // keeps the stop from ending ctx
	writer         http.ResponseWriter
	incoming       *http.Request
	head           RequestHead
	model          string // the requested model, or the only one; empty for services without engines
	route          *serviceconfig.Route
	service        *serviceconfig.Service
	organisation   string
	constraint     placement.Constraint // on the regions where it may be served
	urgency        int
	header         http.Header // the headers to forward
	body           []byte
	fingerprint    quarantine.Fingerprint   // of the content; empty until the body is read
	fingerprints   []quarantine.Fingerprint // of the content and of the parts of the prompt
	configNumber   uint64                   // of the configuration that routed it

	refusedBefore bool // the caller retries after a refusal

	stop            *gracefulStop // the gateway's
	started         time.Time
	readAt          time.Time         // when its last byte was read
	deadline        time.Time         // of the response, from caller or route, unless the VM is suspended
	suspension      *suspension.Watch // nil if suspensions are not tracked
	suspendedBefore time.Duration     // total suspension when the request started
	work            time.Duration     // engine time that the request needs
	prefill         time.Duration     // engine time to read the prompt
	maxRun          time.Duration     // upper bound of the time from its first turn at an engine to its last event

	tried map[*backend]bool // not to be tried again
	sent  int               // attempts with a connection to a backend server
	ranAt map[*backend]bool // backend servers where it may have run
	// retryTaken says that the retry budget is already charged for the next attempt.
	retryTaken         atomic.Bool
	reserved           atomic.Pointer[backend]         // has a reserved slot for the next attempt; nil if none
	interrupted        atomic.Pointer[interruptReason] // not logged yet
	uncharged          bool                            // the retry is charged to another gateway, or to none
	unknownOutcomes    int                             // attempts with an unknown outcome
	outcomesAtEvent    int                             // unknownOutcomes when the last event was relayed
	rejections         int                             // attempts that a server rejected after the stream was started
	knownCrashes       map[quarantine.Fingerprint]int  // independent crashes known when the last attempt was made
	build              string                          // software build of the server of the last attempt
	avoidBuilds        []string                        // builds to which it must not be sent
	permit             *permit                         // to use a backend server that advertises a limit; nil if none
	blockedByLimits    bool                            // only limits of backend servers kept it from being sent
	isTrial            bool                            // it is quarantined, and is tried once on another build
	fallback           *bufferedResponse
	liveness           probeResult    // what is known of the server of the last broken attempt
	ending             responseEnding // how the last response ended, for logs
	mayHaveRun         bool           // an attempt ran or has an unknown outcome
	headWritten        bool           // the response head was written to the caller
	lastEvent          string         // id of the last event that the caller has
	lastAttempt        string         // how the last attempt ended, for logs and refusals
	lastBackend        string         // incarnation of the last backend server
	timeToFirstByte    time.Duration
	timeToLastSend     time.Duration    // from the start to the last attempt
	lastEventAt        time.Time        // when the last event was relayed
	longestEventGap    time.Duration    // the longest gap between two relayed events
	firstEventForecast time.Duration    // time to the first event, from the stager that reserved a slot
	enginesAsked       int              // engines asked for a slot, those that did not answer included
	testedPrompt       int              // the prompt length for which it was last tested, in tokens; 0 if it was not
	earliestOffer      reservationOffer // the earliest first event that one of them forecast, granted or not
	runLostAt          time.Time        // when a run was lost on a silent connection; zero if none was
	standby            *standby         // of the last attempt; nil if there was none
	versionExpiry      versionExpiry    // of the weights' version at the last backend server, as known when the attempt was made
}

// localDeadline returns the deadline on this VM's clock, which stops while the VM is suspended
// although the caller's clock does not.
func (q *request) localDeadline() time.Time {
	if q.suspension == nil {
		return q.deadline
	}
	return q.deadline.Add(q.suspendedBefore - q.suspension.Total())
}

// remaining returns the time left until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.localDeadline()) }

// isRetryable reports whether the request may be sent once more.
func (q *request) isRetryable() bool { return !q.mayHaveRun || q.route.Idempotent() }

// hasNoServerLeft reports whether the request has already been tried at every backend server
// allowed: it may have run at as many as its route permits, and may return to none of them.
func (q *request) hasNoServerLeft() bool {
	if len(q.ranAt) < q.route.MaxAttempts() {
		return false
	}
	for b := range q.ranAt {
		if !q.tried[b] {
			return false
		}
	}
	return true
}

// isLastServerAt reports whether a backend server would be the last one that the route's limit
// of attempts allows, apart from returning to earlier ones.
func (q *request) isLastServerAt(b *backend) bool {
	ranAt := len(q.ranAt)
	if !q.ranAt[b] {
		ranAt++
	}
	return ranAt >= q.route.MaxAttempts()
}

// loadSlowdown is the factor by which a request is slower at a full engine, which interleaves
// the prompts of other requests with its tokens.
const loadSlowdown = 1.5

// estimateWork estimates how much engine time the request needs.
func (q *request) estimateWork() {
	e := q.service.Engine()
	if e.Slots() == 0 {
		q.work = minRequestWork
		return
	}
	prompt, answer := q.head.PromptTokens, q.head.AnswerTokens
	if prompt == 0 {
		prompt = e.UsualPrompt()
	}
	if answer == 0 {
		answer = e.UsualAnswer()
	}
	q.prefill = e.PrefillTime(prompt)
	q.maxRun = time.Duration(loadSlowdown * float64(q.prefill+time.Duration(answer)*e.Step()))
	if q.head.ExpectedTokens > 0 {
		answer = min(answer, q.head.ExpectedTokens)
	}
	q.work = q.prefill + time.Duration(answer)*e.Step()/time.Duration(e.Slots())
}

// recordEvents records that events arrived which the caller does not have yet, and the gap before them.
func (q *request) recordEvents(now time.Time) {
	q.outcomesAtEvent = q.unknownOutcomes
	if !q.lastEventAt.IsZero() {
		q.longestEventGap = max(q.longestEventGap, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
}

// setWriteDeadline bounds the next write to the caller. A response that is ready is written
// even if the process was paused until long after the deadline.
func (q *request) setWriteDeadline() {
	bound := time.Now()
	if deadline := q.localDeadline(); deadline.After(bound) {
		bound = deadline
	}
	// A connection without deadline support fails in the write itself.
	_ = http.NewResponseController(q.writer).SetWriteDeadline(bound.Add(writeGrace))
}

// recordFirstByte records when the first byte of the response is sent.
func (q *request) recordFirstByte() {
	if q.timeToFirstByte == 0 {
		q.timeToFirstByte = time.Since(q.started)
	}
}
