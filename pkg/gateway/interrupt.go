// ================================================================
// Interruptions: the cases in which a gateway itself ends an active attempt. All code that may do
// so asks mayInterrupt, and one table gives the condition for each reason and stage of the
// answer. An attempt whose caller has part of the answer is not ended on the expectation that another
// server does better: a standby is started there, and the attempt ends once that has taken over
// (standby.go). Only a rule of versions and the end of a planned stop interrupt such an attempt at once.
// ================================================================

package gateway

import (
	"maps"
	"time"
)

// interruptReason is the reason for which a gateway ends an attempt, or starts a standby for it.
type interruptReason string

const (
	// interruptDeadline is the expiry of a version, sent to the server as the request's deadline.
	interruptDeadline interruptReason = "version deadline"
	// interruptExpiry keeps a request from starting on an expired version.
	interruptExpiry interruptReason = "version expiry"
	// interruptExpiringSoon is an attempt that may have to end for interruptExpiry before its first
	// event.
	interruptExpiringSoon interruptReason = "version expires soon"
	// interruptStall is an attempt without progress for too long.
	interruptStall interruptReason = "stall"
	// interruptSilence is a connection that seems permanently silent while its server works.
	interruptSilence interruptReason = "silent connection"
	// interruptAllSilent is a global silence, at an address where no newer connection has proved
	// it yet: servers that become slow together look alike.
	interruptAllSilent interruptReason = "silent connections everywhere, not proved"
	// interruptNewerSilent is a global silence in which newer connections, to the same or other
	// servers, receive nothing either: the servers are stalled.
	interruptNewerSilent interruptReason = "silent connections everywhere, newer ones too"
	// interruptUnreachable is a backend server that answers no dials.
	interruptUnreachable interruptReason = "unreachable server"
	// interruptStop is the deadline of a planned stop of the gateway.
	interruptStop interruptReason = "stop deadline"
)

// maxInterruptReservations bounds the servers that are asked for a slot before an answer is
// interrupted.
const maxInterruptReservations = 3

// answerStage is how far the answer to a request has come.
type answerStage int

const (
	// stageWaiting is an attempt without an event, whose caller has nothing.
	stageWaiting answerStage = iota
	// stageResuming is an attempt without an event, whose caller has part of the answer from an
	// earlier attempt.
	stageResuming
	// stageStreaming is an attempt whose events come.
	stageStreaming
	// answerStageCount is the number of stages.
	answerStageCount
)

// interruptCondition is what must hold before an attempt is interrupted.
type interruptCondition struct {
	name  string
	holds func(x *exchange, now time.Time) bool
	// resumes says that the request resumes on a standby, which needs a retry. The attempt continues
	// until the standby has begun.
	resumes bool
}

var (
	always = interruptCondition{name: "always", holds: func(*exchange, time.Time) bool { return true }}
	never  = interruptCondition{name: "never", holds: func(*exchange, time.Time) bool { return false }}
	// singleRun holds for a request that may run only once, and so can't be canceled and retried.
	singleRun = interruptCondition{name: "not idempotent, and expected to end before the version expires", holds: (*exchange).needsVersionDeadline}
	// stalledAlone does not hold where all other streams are stalled as well, as behind an
	// overloaded link or on a machine short of processor time: the answer would stall again.
	stalledAlone = interruptCondition{name: "free slot expected elsewhere, and not all other streams are silent", holds: (*exchange).isStalledAlone, resumes: true}
	// resumable also allows the attempt's own server, since that works.
	resumable          = interruptCondition{name: "resumable here or elsewhere", holds: (*exchange).resumesInTime, resumes: true}
	overdueResumable   = interruptCondition{name: "overdue, and resumable here or elsewhere", holds: (*exchange).isOverdue, resumes: true}
	longSilent         = interruptCondition{name: "silent as long as a stall, and resumable at a free slot", holds: (*exchange).isSilentAsStall, resumes: true}
	resumableElsewhere = interruptCondition{name: "resumable elsewhere", holds: (*exchange).resumesElsewhere, resumes: true}
	notLastServer      = interruptCondition{name: "not the last server", holds: func(x *exchange, _ time.Time) bool { return !x.isLastServer }, resumes: true}
)

// interruptRule is the condition for one reason at each stage, and what happens to the request
// afterwards.
type interruptRule struct {
	reason  interruptReason
	stages  [answerStageCount]interruptCondition
	outcome string
}

// interruptRules is the complete table.
var interruptRules = []interruptRule{
	{interruptDeadline, [...]interruptCondition{singleRun, singleRun, singleRun}, "the server ends the answer"},
	{interruptExpiry, [...]interruptCondition{always, always, never}, "retried on another server; a resumed answer waits for one as long as its caller does"},
	{interruptExpiringSoon, [...]interruptCondition{never, resumableElsewhere, never}, "retried on a standby"},
	{interruptStall, [...]interruptCondition{always, stalledAlone, stalledAlone}, "retried on another server, a started answer on a standby"},
	{interruptSilence, [...]interruptCondition{always, resumable, resumable}, "retried on any server, a started answer on a standby"},
	{interruptAllSilent, [...]interruptCondition{always, overdueResumable, longSilent}, "retried on any server, a started answer on a standby"},
	{interruptNewerSilent, [...]interruptCondition{always, never, never}, "retried on any server"},
	{interruptUnreachable, [...]interruptCondition{always, notLastServer, never}, "retried on another server, a started answer on a standby"},
	{interruptStop, [...]interruptCondition{always, always, always}, "the answer ends"},
}

// interruptRuleFor returns the rule for a reason. An unknown reason never interrupts.
func interruptRuleFor(reason interruptReason) interruptRule {
	for _, r := range interruptRules {
		if r.reason == reason {
			return r
		}
	}
	return interruptRule{reason: reason, stages: [...]interruptCondition{never, never, never}}
}

// mayInterrupt reports whether the attempt may be interrupted now, at once or by a standby. It takes
// the standby's retry from the budget.
func (x *exchange) mayInterrupt(reason interruptReason, stage answerStage, now time.Time) bool {
	c := interruptRuleFor(reason).stages[stage]
	if !c.holds(x, now) {
		return false
	}
	if c.resumes && !x.takeRetryToResume() {
		x.request.reserved.Store(nil)
		return false
	}
	return true
}

// interrupt ends the attempt with abort if the table allows it, at once where its caller has nothing
// yet. An attempt whose request resumes on another one continues until that has begun. A standby without
// an event is ended at once: another one may follow.
func (x *exchange) interrupt(reason interruptReason, stage answerStage, silence *detectedSilence, now time.Time, abort func()) {
	c := interruptRuleFor(reason).stages[stage]
	switch {
	case c.resumes && x.isStandby.Load():
		if c.holds(x, now) && x.abandonWait() {
			abort()
		}
	case c.resumes:
		x.startStandby(reason, stage, silence, now)
	case x.mayInterrupt(reason, stage, now) && x.abandonWait():
		x.gateway.recordInterrupted(x.request, reason, stage)
		abort()
	}
}

// waitState is the state of an attempt's wait for a part of the answer that goes to the caller.
type waitState = int32

const (
	waiting waitState = iota
	// waitEnded is an attempt of which the caller gets a part.
	waitEnded
	// waitAbandoned is an attempt that is aborted before that: the caller gets no part of it.
	waitAbandoned
)

// abandonWait reports whether the attempt may be aborted as one that waits. Its first events may have
// arrived since its stage was determined.
func (x *exchange) abandonWait() bool {
	return x.wait.CompareAndSwap(waiting, waitAbandoned) || x.wait.Load() == waitAbandoned
}

// endWait reports whether a part of the answer may go to the caller; false once the attempt is aborted.
func (x *exchange) endWait() bool {
	return x.wait.CompareAndSwap(waiting, waitEnded) || x.wait.Load() == waitEnded
}

// stage returns how far the answer has come, by whether this attempt streams events.
func (x *exchange) stage(streaming bool) answerStage {
	switch {
	case streaming:
		return stageStreaming
	case x.resumes:
		return stageResuming
	}
	return stageWaiting
}

// recordInterrupted counts the interruption of an answer that its caller has part of, and stores
// the reason for the request's next log line.
func (g *Gateway) recordInterrupted(q *request, reason interruptReason, stage answerStage) {
	if stage == stageWaiting {
		return
	}
	g.metrics.interrupted.WithLabelValues(string(reason)).Inc()
	q.interrupted.Store(&reason)
}

// takeInterrupted returns why the answer was interrupted since the last log line, or nil.
func (q *request) takeInterrupted() any {
	if reason := q.interrupted.Swap(nil); reason != nil {
		return string(*reason)
	}
	return nil
}

// takeRetryToResume takes from the budget the retry with which a request resumes, and reports whether
// there is one.
func (x *exchange) takeRetryToResume() bool {
	q := x.request
	if q.retryTaken.Load() {
		return true
	}
	if !x.gateway.budget.takeRetry(q.service.Name(), x.gateway.countGateways()) {
		return false
	}
	if q.retryTaken.Swap(true) {
		// Two checks took a retry at the same time, and one is enough.
		x.gateway.budget.refund(q.service.Name())
	}
	return true
}

// reserveCandidate reports whether a suitable backend server grants a slot, which the next
// attempt then takes. Where no stager answers, a server that could take the request as far as is
// known will do. It waits for answers, so only the attempt's own watchdog calls it, not the check
// of all attempts.
func (x *exchange) reserveCandidate(w requirements, now time.Time) bool {
	g, q := x.gateway, x.request
	if w.engine.Slots() == 0 {
		return x.hasCandidate(w)
	}
	w.tried = maps.Clone(w.tried)
	for range maxInterruptReservations {
		b := x.candidate(w)
		if b == nil {
			return false
		}
		switch o := g.reserve(q, b, 0, now.Add(maxInterruptReservations*reserveTimeout)); {
		case o.granted || o.unanswered:
			q.reserved.Store(b)
			return true
		}
		w.tried[b] = true
	}
	return false
}

// hasCandidate reports whether a suitable backend server could take the request now, as far as is
// known without asking it.
func (x *exchange) hasCandidate(w requirements) bool { return x.candidate(w) != nil }

// candidate returns a suitable backend server that could take the request now, as far as is known
// without asking it, or nil.
func (x *exchange) candidate(w requirements) *backend {
	g, q := x.gateway, x.request
	b, _ := g.choose(w)
	if b == nil && g.mayRunPastExpiry(q) {
		b, _ = g.choose(g.allowRunPastExpiry(q, w))
	}
	return b
}

// resumesInTime reports whether some backend server, its own included, could begin the request
// before the version there expires.
func (x *exchange) resumesInTime(now time.Time) bool {
	return x.hasCandidate(x.includeOwnServer(x.elsewhereWithRecentWait(now)))
}

// resumesElsewhere reports whether another backend server could begin the request before the version
// there expires.
func (x *exchange) resumesElsewhere(now time.Time) bool {
	return x.hasCandidate(x.elsewhereWithRecentWait(now))
}

// includeOwnServer also allows the attempt's own server.
func (x *exchange) includeOwnServer(w requirements) requirements {
	w.tried = maps.Clone(w.tried)
	delete(w.tried, x.backend)
	return w
}

// elsewhereWithRecentWait returns the requirements for another backend server, where the first
// event is expected to take the longest recent wait of the service.
func (x *exchange) elsewhereWithRecentWait(now time.Time) requirements {
	w := x.failoverRequirements
	w.firstEventLatency = x.gateway.silenceDetector.longestResponseWait(x.request.service.Name(), now)
	return w
}

// outlastsCaller reports whether the caller of an answer that has been silent for a time is
// expected to leave before the next event, where that takes the longest recent wait for a first
// event.
func (x *exchange) outlastsCaller(w requirements, silent time.Duration) bool {
	return silent+w.firstEventLatency >= x.gateway.callerTimeout(x.request)
}

// isOverdue reports whether an attempt has waited longer than expected, and can resume in time.
func (x *exchange) isOverdue(now time.Time) bool {
	return x.silenceMonitor.snapshot().overdue(now) && x.resumesInTime(now)
}

// isSilentAsStall reports whether an attempt has been silent for as long as a stalled one, and a
// server has a free slot where the answer resumes before its caller leaves.
func (x *exchange) isSilentAsStall(now time.Time) bool {
	w, silent := x.includeOwnServer(x.elsewhereWithRecentWait(now)), x.silenceMonitor.snapshot().silentFor(now)
	w.maxWait, w.firstEventLatency = noWait, max(w.firstEventLatency, resumeLatency)
	return silent > x.longestEventGap() && !x.outlastsCaller(w, silent) && x.hasCandidate(w)
}

// isStalledAlone reports whether an answer without progress is expected to do better elsewhere: at a
// free slot, where it resumes before the version there expires and before its caller leaves. Elsewhere
// a standby would only use up a retry. Where its own server is unreachable any other will do.
func (x *exchange) isStalledAlone(now time.Time) bool {
	if x.backend.load(now).unreachable {
		return x.hasCandidate(x.failoverRequirements)
	}
	w, silent := x.elsewhereWithRecentWait(now), x.watch.silentFor(now)
	w.maxWait = noWait
	// A caller that has already waited longer than callerTimeout gains nothing from further waiting.
	tooLate := silent < x.gateway.callerTimeout(x.request) && x.outlastsCaller(w, silent)
	if tooLate {
		return false
	}
	elsewhere, stalled := x.gateway.silenceDetector.progressElsewhere(x.silenceMonitor, now)
	w.tried = maps.Clone(w.tried)
	maps.Copy(w.tried, stalled)
	return elsewhere != progressNone && x.reserveCandidate(w, now)
}
