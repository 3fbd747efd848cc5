// ================================================================
// Interruptions: when a gateway itself ends an attempt under way. Every guard that may do so
// asks here, and the table says what must hold for each reason and how far the answer is. An
// answer that its caller has part of is interrupted only where it can be resumed, or where a
// rule leaves no choice: half of an answer serves nobody.
// ================================================================

package gateway

import (
	"maps"
	"time"
)

// interruption is why a gateway ends an attempt.
type interruption string

const (
	// interruptDeadline is the end of a version's time, sent along as the request's deadline.
	interruptDeadline interruption = "version deadline"
	// interruptExpiry keeps a request from beginning on a version whose time is over.
	interruptExpiry interruption = "version expiry"
	// interruptStall is an attempt without progress for too long.
	interruptStall interruption = "stall"
	// interruptSilence is a connection that seems silent for good while its server works.
	interruptSilence interruption = "silent connection"
	// interruptAllSilent are connections that seem silent everywhere, at an address where no newer
	// one has proved it yet: servers that become slow together look alike.
	interruptAllSilent interruption = "silent connections everywhere, not proved"
	// interruptNewerSilent are such connections while newer ones to other servers, or the same, are
	// not answered on either: the servers stand still.
	interruptNewerSilent interruption = "silent connections everywhere, newer ones too"
	// interruptUnreachable is a backend server that answers no dials.
	interruptUnreachable interruption = "unreachable server"
	// interruptStop is the end of the time for a planned stop.
	interruptStop interruption = "stop deadline"
)

// maxReservations bounds the servers that are asked for a place before an answer is interrupted.
const maxReservations = 3

// answerStage is how far the answer to a request is.
type answerStage int

const (
	// stageWaiting is an attempt without an event, whose caller has nothing.
	stageWaiting answerStage = iota
	// stageResuming is an attempt without an event, whose caller has part of the answer by an
	// earlier one.
	stageResuming
	// stageStreaming is an attempt whose events come.
	stageStreaming
	answerStageCount
)

// interruptCondition is what must hold before an attempt is interrupted.
type interruptCondition struct {
	name  string
	holds func(x *exchange, now time.Time) bool
	// resumes says that the request is to go on elsewhere: it is interrupted only with the
	// repeat for that in hand.
	resumes bool
}

var (
	always = interruptCondition{name: "always", holds: func(*exchange, time.Time) bool { return true }}
	never  = interruptCondition{name: "never", holds: func(*exchange, time.Time) bool { return false }}
	// singleRun holds where no break can take the request back.
	singleRun = interruptCondition{name: "may run once, and should be over before the version ends", holds: (*exchange).needsVersionDeadline}
	// stalledAlone does not hold where all others stand still as well, as behind an overloaded
	// link or on a machine short of processor time: the answer would stand still again.
	stalledAlone = interruptCondition{name: "granted a free place elsewhere, and others make progress", holds: (*exchange).isStalledAlone, resumes: true}
	// resumable counts the attempt's own server, which works.
	resumable        = interruptCondition{name: "resumable here or elsewhere", holds: (*exchange).resumesInTime, resumes: true}
	overdueResumable = interruptCondition{name: "overdue, and resumable here or elsewhere", holds: (*exchange).isOverdue, resumes: true}
	longSilent       = interruptCondition{name: "silent for as long as a stall, and resumable at a free place", holds: (*exchange).isSilentAsStall, resumes: true}
	notLastServer    = interruptCondition{name: "not the last server", holds: func(x *exchange, _ time.Time) bool { return !x.isLast }, resumes: true}
)

// interruptRule says for one reason what must hold at each stage, and what follows.
type interruptRule struct {
	reason  interruption
	stages  [answerStageCount]interruptCondition
	outcome string
}

// interruptRules is the whole table.
var interruptRules = []interruptRule{
	{interruptDeadline, [...]interruptCondition{singleRun, singleRun, singleRun}, "the server ends it"},
	{interruptExpiry, [...]interruptCondition{always, always, never}, "another server; a resumed answer waits for one as long as its caller does"},
	{interruptStall, [...]interruptCondition{always, stalledAlone, stalledAlone}, "another server, with the repeat that was taken"},
	{interruptSilence, [...]interruptCondition{always, resumable, resumable}, "any server, with the repeat that was taken"},
	{interruptAllSilent, [...]interruptCondition{always, overdueResumable, longSilent}, "any server, with the repeat that was taken"},
	{interruptNewerSilent, [...]interruptCondition{always, never, never}, "any server"},
	{interruptUnreachable, [...]interruptCondition{always, notLastServer, never}, "another server, with the repeat that was taken"},
	{interruptStop, [...]interruptCondition{always, always, always}, "the answer ends"},
}

// interruptRuleFor returns the rule of a reason.
func interruptRuleFor(why interruption) interruptRule {
	for _, r := range interruptRules {
		if r.reason == why {
			return r
		}
	}
	return interruptRule{reason: why, stages: [...]interruptCondition{never, never, never}}
}

// mayInterrupt tells whether the attempt may be interrupted now, and takes the repeat that the
// request needs to be resumed.
func (x *exchange) mayInterrupt(why interruption, stage answerStage, now time.Time) bool {
	c := interruptRuleFor(why).stages[stage]
	if !c.holds(x, now) {
		return false
	}
	if c.resumes && !x.takeRetryToResume() {
		x.request.reserved.Store(nil)
		return false
	}
	return true
}

// stage is how far the answer is, by whether events of this attempt come.
func (x *exchange) stage(flows bool) answerStage {
	switch {
	case flows:
		return stageStreaming
	case x.resumes:
		return stageResuming
	}
	return stageWaiting
}

// recordInterrupted counts an answer that was under way when it was interrupted, and has its next log
// line say why.
func (g *Gateway) recordInterrupted(q *request, why interruption, stage answerStage) {
	if stage == stageWaiting {
		return
	}
	g.metrics.interrupted.WithLabelValues(string(why)).Inc()
	q.interrupted.Store(&why)
}

// takeInterrupted returns why the answer was interrupted since the last log line; nil where it was
// not.
func (q *request) takeInterrupted() any {
	if why := q.interrupted.Swap(nil); why != nil {
		return string(*why)
	}
	return nil
}

// takeRetryToResume takes the repeat that a request needs to go on. Without one it would end,
// while on a busy machine all servers stand still for a moment and go on.
func (x *exchange) takeRetryToResume() bool {
	q := x.request
	if q.repeatTaken.Load() {
		return true
	}
	if !x.gateway.budget.repeat(q.service.Name(), x.gateway.gateways()) {
		return false
	}
	if q.repeatTaken.Swap(true) {
		// Several guards came to it, and one repeat does.
		x.gateway.budget.unspent(q.service.Name())
	}
	return true
}

// reserveCandidate tells whether a backend server that satisfies what is wanted grants a place, which the
// next attempt then takes. Where no stager answers, one that could take the request as far as is known
// will do. It waits for answers, so it is for the attempt's own looks and not for those at all attempts.
func (x *exchange) reserveCandidate(w wanted, now time.Time) bool {
	g, q := x.gateway, x.request
	if w.engine.Slots() == 0 {
		return x.hasCandidate(w)
	}
	w.tried = maps.Clone(w.tried)
	for range maxReservations {
		b := x.candidate(w)
		if b == nil {
			return false
		}
		switch o := g.reserve(q, b, 0, now.Add(maxReservations*reserveTimeout)); {
		case o.granted:
			q.reserved.Store(b)
			return true
		case o.unanswered:
			return true
		}
		w.tried[b] = true
	}
	return false
}

// hasCandidate tells whether a backend server that satisfies what is wanted could take the request
// now, as far as is known without a question.
func (x *exchange) hasCandidate(w wanted) bool { return x.candidate(w) != nil }

// candidate returns the backend server that hasPlace tells of; nil for none.
func (x *exchange) candidate(w wanted) *backend {
	g, q := x.gateway, x.request
	b, _ := g.choose(w)
	if b == nil && g.mayRunOn(q) {
		b, _ = g.choose(g.runningOn(q, w))
	}
	return b
}

// resumesInTime tells whether some backend server, its own too, has a place where the request would
// begin before the version there lapses.
func (x *exchange) resumesInTime(now time.Time) bool {
	return x.hasCandidate(x.includeOwnServer(x.elsewhereWithRecentWait(now)))
}

// includeOwnServer also allows the attempt's own server.
func (x *exchange) includeOwnServer(w wanted) wanted {
	w.tried = maps.Clone(w.tried)
	delete(w.tried, x.backend)
	return w
}

// elsewhereWithRecentWait is what another backend server must satisfy where the request begins no sooner
// than those of its service did of late.
func (x *exchange) elsewhereWithRecentWait(now time.Time) wanted {
	w := x.elsewhere
	w.begins = x.gateway.silences.longestResponseWait(x.request.service.Name(), now)
	return w
}

// outlastsCaller tells whether the caller of an answer that has been silent for a time gives it up
// before its next event, where that takes as long as the first events of late.
func (x *exchange) outlastsCaller(w wanted, silent time.Duration) bool {
	return silent+w.begins >= x.gateway.patienceOf(x.request)
}

// isOverdue tells whether an attempt has waited for longer than is usual, and can be resumed.
func (x *exchange) isOverdue(now time.Time) bool {
	return x.listening.snapshot().overdue(now) && x.resumesInTime(now)
}

// isSilentAsStall tells whether an attempt has been silent for as long as one that stalls, and a server
// has a free place where it is resumed before its caller gives up.
func (x *exchange) isSilentAsStall(now time.Time) bool {
	w, silent := x.includeOwnServer(x.elsewhereWithRecentWait(now)), x.listening.snapshot().silentFor(now)
	w.wait, w.begins = noWait, max(w.begins, goesOnWithin)
	return silent > x.longestEventGap() && !x.outlastsCaller(w, silent) && x.hasCandidate(w)
}

// isStalledAlone tells whether an answer without progress would fare better elsewhere: at a free
// place, where it is resumed before the version there lapses and before its caller gives up. A
// server that is full turns it away, and it can't go back without another repeat. Where its own is
// out of reach any place will do.
func (x *exchange) isStalledAlone(now time.Time) bool {
	if x.backend.load(now).lost {
		return !x.isLast && x.hasCandidate(x.elsewhere)
	}
	w, silent := x.elsewhereWithRecentWait(now), x.watch.silentFor(now)
	w.wait = noWait
	// A caller who is there for longer than is known of callers gets nothing by waiting on.
	tooLate := silent < x.gateway.patienceOf(x.request) && x.outlastsCaller(w, silent)
	if x.isLast || tooLate || x.gateway.silences.allStreamsSilent(x.listening) {
		return false
	}
	return x.reserveCandidate(w, now)
}
