// ================================================================
// Results of requests and attempts: the values used in logs and metrics, and the refusals. A
// refusal says when to retry and whether anything has run.
// ================================================================

package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/failure"
)

// outcome is the result of a request, as logs and metrics show it.
type outcome string

const (
	outcomeServed     outcome = "served"
	outcomeFailed     outcome = "failed"  // by the backend server
	outcomeBroken     outcome = "broken"  // a stream that could not be resumed
	outcomeRefused    outcome = "refused" // by the gateway
	outcomeCallerLeft outcome = "gone"    // the caller disconnected
	outcomeStopped    outcome = "stopped" // the gateway aborted it at the end of its planned stop
	// outcomeUnwritten is a response that could not be written to the caller.
	outcomeUnwritten outcome = "unwritten"
)

// attemptEnd is the result of an attempt that did not answer the request, as logs and metrics
// show it.
type attemptEnd string

const (
	attemptUnreachable      attemptEnd = "unreachable"
	attemptBroken           attemptEnd = "broken"
	attemptSilentConn       attemptEnd = "silent" // the connection was silent, not the backend server
	attemptVersionExpired   attemptEnd = "lapsed"
	attemptCutByOrder       attemptEnd = "cut" // an order to the engine closed the connection
	attemptRejected         attemptEnd = "refused"
	attemptWrongIncarnation attemptEnd = "elsewhere"
	attemptFailed           attemptEnd = "failed"
	attemptNotAllowed       attemptEnd = "not allowed" // the server may not receive the request
)

// recordAttempt logs and counts an attempt that did not answer the request.
func (g *Gateway) recordAttempt(q *request, end attemptEnd, reason string) {
	q.lastAttempt = string(end) + " at " + q.lastBackend + ": " + reason
	g.metrics.attempts.WithLabelValues(string(end)).Inc()
	_ = level.Info(g.process.Logger).Log("msg", "attempt", "request", q.head.ID, "fingerprint", q.fingerprint, "parts", q.loggedParts(), "prompt", q.head.PromptTokens, "answer", q.head.AnswerTokens, "body", len(q.body), "end", string(end), "sign", string(q.liveness), "probe_ms", q.ending.probeDelay.Milliseconds(), "backend", q.lastBackend,
		"service", q.service.Name(), "sent", q.sent, "left_ms", q.remaining().Milliseconds(), "idle_ms", q.millisSinceLastEvent(),
		"version", q.versionExpiry.served, "lapses_ms", q.millisUntilExpiry(), "interrupted", q.takeInterrupted(), "why", reason)
}

// recordOutcome logs and counts a finished request.
func (g *Gateway) recordOutcome(q *request, o outcome, reason string) {
	g.metrics.requests.WithLabelValues(string(o)).Inc()
	if o == outcomeServed {
		g.metrics.firstEvent.Observe(q.timeToFirstByte.Seconds())
	}
	if q.head.PromptTokens > 0 {
		g.metrics.promptTokens.WithLabelValues(string(o)).Observe(float64(q.head.PromptTokens))
	}
	route := ""
	var objective, pauseObjective time.Duration
	if q.route != nil {
		route = q.route.Name()
		objective, pauseObjective = q.route.ResponseObjective(), q.route.GapObjective()
	}
	_ = level.Info(g.process.Logger).Log("msg", "request", "request", q.head.ID, "fingerprint", q.fingerprint, "parts", q.loggedParts(), "prompt", q.head.PromptTokens, "answer", q.head.AnswerTokens, "body", len(q.body), "outcome", string(o), "route", route,
		"configuration", q.configNumber, "organisation", q.organisation, "backend", q.lastBackend, "sent", q.sent,
		"sent_ms", q.timeToLastSend.Milliseconds(), "came_back", q.refusedBefore, "asked", q.enginesAsked, "tested_prompt", q.testedPrompt, "offer_ms", q.millisToEarliestOffer(), "forecast_ms", q.firstEventForecast.Milliseconds(), "first_ms", q.timeToFirstByte.Milliseconds(), "pause_ms", q.longestEventGap.Milliseconds(), "idle_ms", q.millisSinceLastEvent(),
		"objective_ms", objective.Milliseconds(), "pause_objective_ms", pauseObjective.Milliseconds(), "allowed_ms", q.head.Timeout.Milliseconds(), "ms", time.Since(q.started).Milliseconds(),
		"version", q.versionExpiry.served, "lapses_ms", q.millisUntilExpiry(), "stopping_ms", g.stop.elapsedMillis(q.started), "limited", q.blockedByLimits, "interrupted", q.takeInterrupted(),
		"framing", string(q.ending.framing), "end_sign", string(q.ending.liveness), "probe_ms", q.ending.probeDelay.Milliseconds(), "why", reason)
}

// loggedParts returns the ids of the shared parts of the prompt, as far as they fit into a log line.
func (q *request) loggedParts() string {
	const maxLength = 256
	ids := strings.Join(q.head.PromptParts, ",")
	return ids[:min(len(ids), maxLength)]
}

// millisSinceLastEvent returns how many milliseconds ago the last event was relayed; nil if none was.
func (q *request) millisSinceLastEvent() any {
	if q.lastEventAt.IsZero() {
		return nil
	}
	return time.Since(q.lastEventAt).Milliseconds()
}

// millisToEarliestOffer returns the earliest first event, in milliseconds, that an engine which was asked for a
// slot forecast; nil if none answered.
func (q *request) millisToEarliestOffer() any {
	if q.earliestOffer.backend == nil {
		return nil
	}
	return q.earliestOffer.startDelay.Milliseconds()
}

// millisUntilExpiry returns for how many more milliseconds the version of the last attempt may
// be served, as known when the attempt was made; nil if it does not expire.
func (q *request) millisUntilExpiry() any {
	if !q.versionExpiry.expires() {
		return nil
	}
	return time.Until(q.versionExpiry.at).Milliseconds()
}

// refusal is the JSON body of a refusal.
type refusal struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Ran    string `json:"ran"`
	Remedy string `json:"remedy"`
}

// refuse answers a request that no backend server answered, and records its outcome.
func (g *Gateway) refuse(q *request, f *failure.Failure) {
	if f.RetryAfter() > 0 {
		g.returningCallers.recordRefusal(time.Now())
	}
	if err := q.writeRefusal(f); err != nil {
		g.recordOutcome(q, outcomeUnwritten, err.Error()+"; "+f.Error())
		return
	}
	g.recordOutcome(q, outcomeRefused, f.Error())
}

// writeRefusal writes the response to a request that no backend server answered.
func (q *request) writeRefusal(f *failure.Failure) error {
	ran := "not run"
	if q.mayHaveRun {
		ran = "unknown"
	}
	body, err := json.Marshal(refusal{f.Message(), string(f.Kind()), ran, f.Remedy()})
	if err != nil {
		return err
	}
	header := q.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if after := f.RetryAfter(); after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	q.stop.announceClose(header)
	q.writer.WriteHeader(q.refusalStatus(f))
	return q.write(body)
}

// refusalStatus returns the HTTP status of a failure. 503 promises that the request has not
// run: it replaces 504 if nothing has run, and becomes 502 if something may have.
func (q *request) refusalStatus(f *failure.Failure) int {
	status := f.Status()
	switch {
	case status == http.StatusGatewayTimeout && !q.mayHaveRun:
		return http.StatusServiceUnavailable
	case status == http.StatusServiceUnavailable && q.mayHaveRun:
		return http.StatusBadGateway
	}
	return status
}
