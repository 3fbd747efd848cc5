// ================================================================
// Reservation of a slot at an engine before the request is sent there. The engine's stager
// answers from the state of the engine that it read last; see pkg/reservation.
//
// A stager that does not answer gets no reservation requests during a backoff: it may have been
// killed while its engine continues to work, or chunks saturate its link. The gateway then uses its
// share of the engine's slots instead. If only the link to the stager went silent, the gateway asks
// again over a new link, since the engine still works and its slots are needed.
// ================================================================

package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/reservation"
)

const (
	// reserveTimeout is how long a stager may take to answer. A round trip takes up to 6 ms, and
	// an objective is some 100 ms. A stager that takes longer has a link that chunks saturate.
	reserveTimeout = 40 * time.Millisecond
	// transferReserveTimeout is the same during chunk transfers on the link of its VM. An answer
	// that comes behind a chunk is worth less than the time that it takes.
	transferReserveTimeout = 20 * time.Millisecond
	// initialStagerBackoff is the backoff after an unanswered reservation request. It doubles
	// with each further one in a row, up to maxStagerBackoff.
	initialStagerBackoff = time.Second
	maxStagerBackoff     = 4 * time.Second
	// maxReservationAttempts bounds the engines that are asked for one request, and
	// reservationTimeShare of its objective bounds the time. So the caller gets a refusal early
	// if several stagers in a row don't answer.
	maxReservationAttempts = 8
	reservationTimeShare   = 0.25
	// returnLatency is how long an event takes from the engine to the caller.
	returnLatency = 5 * time.Millisecond
)

// reservationOffer is the result of a reservation request.
type reservationOffer struct {
	backend    *backend
	granted    bool
	startDelay time.Duration
	// stepTimeRatio is the engine's measured step time over the usual one; 0 if unknown.
	stepTimeRatio float64
	unanswered    bool
}

// earliest returns the offer with the shorter start delay; an unanswered one is ignored.
func (o reservationOffer) earliest(other reservationOffer) reservationOffer {
	if !other.unanswered && (o.backend == nil || other.startDelay < o.startDelay) {
		return other
	}
	return o
}

// chooseWithReservation chooses a backend server. It asks engines for a slot: the first one where
// the request starts without waiting gets it, else the one with the earliest start, if that is in
// time. An engine of the gateway's own failure domain that starts in time precedes others. A
// retried request goes where it starts first.
func (g *Gateway) chooseWithReservation(q *request, w requirements) (b *backend, loaded bool) {
	if w.engine.Slots() == 0 {
		return g.choosePermitted(q, w)
	}
	w.tried = maps.Clone(w.tried)
	first, yields := q.sent == 0, q.yields(time.Now())
	maxAttempts := maxReservationAttempts
	if yields {
		maxAttempts = yieldReservationAttempts
	}
	var best reservationOffer
	until := time.Now().Add(time.Duration(reservationTimeShare * float64(q.route.ResponseObjective())))
	for asked := 0; asked < maxAttempts && (asked == 0 || time.Now().Before(until)); asked++ {
		b, excluded := g.choosePermitted(q, w)
		loaded = loaded || excluded
		if b == nil || first && g.isInTime(q, best, q.firstEventBudget()) && g.isSameDomain(best.backend) && !g.isSameDomain(b) {
			break
		}
		o := g.reserve(q, b, 0, until)
		q.enginesAsked++
		q.earliestOffer = q.earliestOffer.earliest(o)
		if o.granted || o.unanswered && (!first && !yields || g.hasShare(w, b)) {
			q.firstEventForecast = o.startDelay
			return b, loaded
		}
		w.tried[b], loaded = true, true
		best = best.earliest(o)
	}
	if best.backend == nil || first && q.refusedBefore || yields {
		return nil, loaded
	}
	return g.reserveQueued(q, best, until), loaded
}

// isSameDomain reports whether a backend server is in the failure domain of this gateway.
func (g *Gateway) isSameDomain(b *backend) bool {
	return b != nil && b.latestRegistration().Domain() == g.process.Identity.Domain()
}

// reserveQueued asks the engine with the best offer for a slot behind other requests. It returns
// nil if the request would not start in time.
func (g *Gateway) reserveQueued(q *request, best reservationOffer, until time.Time) *backend {
	within := q.firstEventBudget()
	if q.sent > 0 {
		within = q.remaining()
	}
	if q.headWritten && !q.lastEventAt.IsZero() {
		within = min(within, g.maxQueueTime(q, time.Now()))
	}
	q.testedPrompt = g.reservationRequest(q, within).TestedPrompt(q.service.Engine())
	if !g.isInTime(q, best, within) || !g.acquirePermit(q, best.backend) {
		return nil
	}
	o := g.reserve(q, best.backend, within, until)
	if !o.granted {
		return nil
	}
	q.firstEventForecast = o.startDelay
	return best.backend
}

// isInTime reports whether an engine that made an offer grants a request whose first event must come within a
// time, by its present backlog.
func (g *Gateway) isInTime(q *request, o reservationOffer, within time.Duration) bool {
	surcharge := g.reservationRequest(q, within).Surcharge(q.service.Engine(), o.stepTimeRatio)
	return o.startDelay+surcharge <= within
}

// reservationRequest returns the request for a slot where the first event must come within a time.
func (g *Gateway) reservationRequest(q *request, within time.Duration) reservation.Request {
	if q.sent > 0 {
		// The caller has waited too long already, so gaps in other streams are accepted.
		return reservation.NewRequest(q.head.PromptTokens, within, 0, 0)
	}
	return reservation.NewRequest(q.head.PromptTokens, within, q.route.GapObjective(), g.promptLengths.long(q.route.Name(), q.service.Name(), time.Now()))
}

// maxQueueTime returns how long a started stream may queue by an engine's forecast. Forecasts are off by
// as much as recent starts were late. Where that leaves no time at all, the stream queues by the forecast
// alone: without a slot it ends. A caller that has stayed longer than expected may stay until the deadline.
func (g *Gateway) maxQueueTime(q *request, now time.Time) time.Duration {
	left := g.callerTimeoutLeft(q, now)
	if left <= 0 {
		return q.remaining()
	}
	if lateness := g.silenceDetector.maxForecastError(q.service.Name(), now); lateness < left {
		return left - lateness
	}
	return left
}

// hasShare reports whether the gateway's share of the slots at an engine without a responding
// stager allows one more request.
func (g *Gateway) hasShare(w requirements, b *backend) bool {
	now := time.Now()
	l := b.load(now)
	return w.isWithinShare(l, g.slotShares(now, w.capacity(g.candidates(w, now))), now)
}

// reserve asks for a slot for a request whose first event must come within a time; 0 asks for a
// slot without waiting. It stops asking at until.
func (g *Gateway) reserve(q *request, b *backend, within time.Duration, until time.Time) reservationOffer {
	address, known := g.stagerAddress(b)
	if !known {
		return reservationOffer{backend: b, unanswered: true}
	}
	started := time.Now()
	answer, err := g.askWithRetry(q, b, address, g.reservationRequest(q, within), until)
	if err != nil {
		if q.ctx.Err() == nil {
			b.recordStagerTimeout(time.Now())
			g.metrics.reservations.WithLabelValues(string(reservationUnanswered)).Inc()
			_ = level.Info(g.process.Logger).Log("msg", "stager did not answer a reservation request", "request", q.head.ID, "stager", address, "err", err)
		}
		return reservationOffer{backend: b, unanswered: true}
	}
	b.recordCurrentLoad(answer.Load())
	g.metrics.reservations.WithLabelValues(string(reservationOutcomeOf(answer))).Inc()
	return reservationOffer{backend: b, granted: answer.Granted(), startDelay: answer.TimeToFirstEvent() + time.Since(started), stepTimeRatio: answer.Load().StepTimeRatio()}
}

// askWithRetry asks the stager of an engine, and asks once more if the link was silent and a new
// link replaced it: then the stager works and must not get a backoff. A slot that was granted
// over the silent link expires at the engine.
func (g *Gateway) askWithRetry(q *request, b *backend, address string, request reservation.Request, until time.Time) (reservation.Response, error) {
	asked, timeout := time.Now(), b.reservationTimeout(time.Now())
	answer, err := g.askWithTimeout(q.ctx, timeout, address, request)
	if err == nil || q.ctx.Err() != nil {
		return answer, err
	}
	linkCheck := g.process.Endpoint.Probe(address, asked)
	wait := timeout
	if timeout == transferReserveTimeout {
		// Chunk transfers on the link delay the answer, and would delay a second one too.
		wait = 0
	}
	ctx, cancel := context.WithDeadline(q.ctx, earlier(until, time.Now().Add(wait)))
	defer cancel()
	if linkCheck.Await(ctx) == link.ProbeReplaced {
		return g.askWithTimeout(q.ctx, timeout, address, request)
	}
	if ctx.Err() != nil {
		// Whether a new link replaces the silent one matters to other requests. This one has no
		// time left to wait for it, so a goroutine does.
		go func() {
			if linkCheck.Await(g.runContext) == link.ProbeReplaced {
				b.resetStagerBackoff()
			}
		}()
	}
	return answer, err
}

func (g *Gateway) askWithTimeout(ctx context.Context, timeout time.Duration, address string, request reservation.Request) (reservation.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.askStager(ctx, address, request)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// reservationOutcome is the result of a reservation request, as a metric label.
type reservationOutcome string

const (
	reservationGranted    reservationOutcome = "granted"
	reservationRefused    reservationOutcome = "refused"
	reservationUnanswered reservationOutcome = "unanswered"
)

func reservationOutcomeOf(response reservation.Response) reservationOutcome {
	if response.Granted() {
		return reservationGranted
	}
	return reservationRefused
}

// callStager sends a reservation request to a stager over a link.
func (g *Gateway) callStager(ctx context.Context, address string, request reservation.Request) (reservation.Response, error) {
	var answer reservation.Response
	err := g.process.Endpoint.Call(ctx, address, link.KindReserve, request, &answer)
	return answer, err
}

// stagerAddress returns the link address of an engine's stager, which listens on the port that
// all processes use. It returns false during a backoff.
func (g *Gateway) stagerAddress(b *backend) (string, bool) {
	if !b.canReserve(time.Now()) {
		return "", false
	}
	addresses := link.WithPortOf([]string{b.address}, g.process.Identity.Address())
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[0], true
}

// firstEventBudget is the time within which the first event must leave the engine. A request that
// is late already because it was refused elsewhere gets the budget of a first attempt.
func (q *request) firstEventBudget() time.Duration {
	objective := q.route.ResponseObjective() - returnLatency
	if left := objective - time.Since(q.started); left > 0 {
		return left
	}
	return objective
}

// recordStagerTimeout starts or doubles the backoff of an unresponsive stager.
func (b *backend) recordStagerTimeout(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stagerBackoffUntil = now.Add(min(initialStagerBackoff<<min(b.consecutiveStagerTimeouts, 8), maxStagerBackoff))
	b.consecutiveStagerTimeouts++
}

// resetStagerBackoff ends the backoff after it turned out that only the link was silent.
func (b *backend) resetStagerBackoff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stagerBackoffUntil, b.consecutiveStagerTimeouts = time.Time{}, 0
}

// reservationTimeout is how long the engine's stager may take to answer.
func (b *backend) reservationTimeout(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reported.isFresh(now) && b.reported.load.Transferring() {
		return transferReserveTimeout
	}
	return reserveTimeout
}

// canReserve reports whether the engine's stager gets reservation requests.
func (b *backend) canReserve(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.canReserveLocked(now)
}

// canReserveLocked is canReserve for callers that hold b.mu.
func (b *backend) canReserveLocked(now time.Time) bool {
	return !now.Before(b.stagerBackoffUntil)
}
