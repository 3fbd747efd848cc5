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
	// interruptNobodyAnswers are such connections while newer ones to other servers, or the same, are
	// not answered on either: the servers stand still.
	interruptNobodyAnswers interruption = "silent connections everywhere, newer ones too"
	// interruptUnreachable is a backend server that answers no dials.
	interruptUnreachable interruption = "unreachable server"
	// interruptStop is the end of the time for a planned stop.
	interruptStop interruption = "stop deadline"
)

// placesAsked bounds the servers that are asked for a place before an answer is interrupted.
const placesAsked = 3

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
	answerStages
)

// condition is what must hold before an attempt is interrupted.
type condition struct {
	name  string
	holds func(x *exchange, now time.Time) bool
	// resumes says that the request is to go on elsewhere: it is interrupted only with the
	// repeat for that in hand.
	resumes bool
}

var (
	always = condition{name: "always", holds: func(*exchange, time.Time) bool { return true }}
	never  = condition{name: "never", holds: func(*exchange, time.Time) bool { return false }}
	// mayRunOnce holds where no break can take the request back.
	mayRunOnce = condition{name: "may run once, and should be over before the version ends", holds: (*exchange).needsVersionDeadline}
	// stalledAlone does not hold where all others stand still as well, as behind an overloaded
	// link or on a machine short of processor time: the answer would stand still again.
	stalledAlone = condition{name: "granted a free place elsewhere, and others make progress", holds: (*exchange).isStalledAlone, resumes: true}
	// resumableAnywhere counts the attempt's own server, which works.
	resumableAnywhere = condition{name: "resumable here or elsewhere", holds: (*exchange).beginsInTime, resumes: true}
	overdueAnywhere   = condition{name: "overdue, and resumable here or elsewhere", holds: (*exchange).isOverdue, resumes: true}
	longSilent        = condition{name: "silent for as long as a stall, and resumable at a free place", holds: (*exchange).isLongSilent, resumes: true}
	notLastServer     = condition{name: "not the last server", holds: func(x *exchange, _ time.Time) bool { return !x.isLast }, resumes: true}
)

// interruptRule says for one reason what must hold at each stage, and what follows.
type interruptRule struct {
	reason  interruption
	stages  [answerStages]condition
	follows string
}

// interruptRules is the whole table.
var interruptRules = []interruptRule{
	{interruptDeadline, [...]condition{mayRunOnce, mayRunOnce, mayRunOnce}, "the server ends it"},
	{interruptExpiry, [...]condition{always, always, never}, "another server; a resumed answer waits for one as long as its caller does"},
	{interruptStall, [...]condition{always, stalledAlone, stalledAlone}, "another server, with the repeat that was taken"},
	{interruptSilence, [...]condition{always, resumableAnywhere, resumableAnywhere}, "any server, with the repeat that was taken"},
	{interruptAllSilent, [...]condition{always, overdueAnywhere, longSilent}, "any server, with the repeat that was taken"},
	{interruptNobodyAnswers, [...]condition{always, never, never}, "any server"},
	{interruptUnreachable, [...]condition{always, notLastServer, never}, "another server, with the repeat that was taken"},
	{interruptStop, [...]condition{always, always, always}, "the answer ends"},
}

// interruptRuleOf returns the rule of a reason.
func interruptRuleOf(why interruption) interruptRule {
	for _, r := range interruptRules {
		if r.reason == why {
			return r
		}
	}
	return interruptRule{reason: why, stages: [...]condition{never, never, never}}
}

// mayInterrupt tells whether the attempt may be interrupted now, and takes the repeat that the
// request needs to be resumed.
func (x *exchange) mayInterrupt(why interruption, stage answerStage, now time.Time) bool {
	c := interruptRuleOf(why).stages[stage]
	if !c.holds(x, now) {
		return false
	}
	if c.resumes && !x.takeRepeatToResume() {
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

// noteInterrupted counts an answer that was under way when it was interrupted, and has its next log
// line say why.
func (g *Gateway) noteInterrupted(q *request, why interruption, stage answerStage) {
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

// takeRepeatToResume takes the repeat that a request needs to go on. Without one it would end,
// while on a busy machine all servers stand still for a moment and go on.
func (x *exchange) takeRepeatToResume() bool {
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

// reservesPlace tells whether a backend server that satisfies what is wanted grants a place, which the
// next attempt then takes. Where no stager answers, one that could take the request as far as is known
// will do. It waits for answers, so it is for the attempt's own looks and not for those at all attempts.
func (x *exchange) reservesPlace(w wanted, now time.Time) bool {
	g, q := x.gateway, x.request
	if w.engine.Slots() == 0 {
		return x.hasPlace(w)
	}
	w.tried = maps.Clone(w.tried)
	for range placesAsked {
		b := x.place(w)
		if b == nil {
			return false
		}
		switch o := g.reserve(q, b, 0, now.Add(placesAsked*reserveTimeout)); {
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

// hasPlace tells whether a backend server that satisfies what is wanted could take the request
// now, as far as is known without a question.
func (x *exchange) hasPlace(w wanted) bool { return x.place(w) != nil }

// place returns the backend server that hasPlace tells of; nil for none.
func (x *exchange) place(w wanted) *backend {
	g, q := x.gateway, x.request
	b, _ := g.choose(w)
	if b == nil && g.mayRunOn(q) {
		b, _ = g.choose(g.runningOn(q, w))
	}
	return b
}

// beginsInTime tells whether some backend server, its own too, has a place where the request would
// begin before the version there lapses.
func (x *exchange) beginsInTime(now time.Time) bool {
	return x.hasPlace(x.hereOrElsewhere(x.elsewhereAsSlow(now)))
}

// hereOrElsewhere also allows the attempt's own server.
func (x *exchange) hereOrElsewhere(w wanted) wanted {
	w.tried = maps.Clone(w.tried)
	delete(w.tried, x.backend)
	return w
}

// elsewhereAsSlow is what another backend server must satisfy where the request begins no sooner
// than those of its service did of late.
func (x *exchange) elsewhereAsSlow(now time.Time) wanted {
	w := x.elsewhere
	w.begins = x.gateway.silences.slowestBegin(x.request.service.Name(), now)
	return w
}

// outlastsCaller tells whether the caller of an answer that has been silent for a time gives it up
// before its next event, where that takes as long as the first events of late.
func (x *exchange) outlastsCaller(w wanted, silent time.Duration) bool {
	return silent+w.begins >= x.gateway.patienceOf(x.request)
}

// isOverdue tells whether an attempt has waited for longer than is usual, and can be resumed.
func (x *exchange) isOverdue(now time.Time) bool {
	return x.listening.hearing().overdue(now) && x.beginsInTime(now)
}

// isLongSilent tells whether an attempt has been silent for as long as one that stalls, and a server
// has a free place where it is resumed before its caller gives up.
func (x *exchange) isLongSilent(now time.Time) bool {
	w, silent := x.hereOrElsewhere(x.elsewhereAsSlow(now)), x.listening.hearing().silent(now)
	w.wait, w.begins = noWait, max(w.begins, goesOnWithin)
	return silent > x.longestPause() && !x.outlastsCaller(w, silent) && x.hasPlace(w)
}

// isStalledAlone tells whether an answer without progress would fare better elsewhere: at a free
// place, where it is resumed before the version there lapses and before its caller gives up. A
// server that is full turns it away, and it can't go back without another repeat. Where its own is
// out of reach any place will do.
func (x *exchange) isStalledAlone(now time.Time) bool {
	if x.backend.load(now).lost {
		return !x.isLast && x.hasPlace(x.elsewhere)
	}
	w, silent := x.elsewhereAsSlow(now), x.watch.silentFor(now)
	w.wait = noWait
	// A caller who is there for longer than is known of callers gets nothing by waiting on.
	tooLate := silent < x.gateway.patienceOf(x.request) && x.outlastsCaller(w, silent)
	if x.isLast || tooLate || x.gateway.silences.areAllSilent(x.listening) {
		return false
	}
	return x.reservesPlace(w, now)
}
