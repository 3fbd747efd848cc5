// ================================================================
// Copies of a request for attempts that run at the same time. Each attempt has its own copy, and the
// copies are merged when one of them has ended.
// ================================================================

package gateway

import (
	"context"
	"maps"
	"slices"
)

// fork returns a copy of the request for another attempt, with a context of its own. Permits, slots
// and retries that the request holds stay with it.
func (q *request) fork(ctx context.Context) *request {
	return &request{
		ctx: ctx, detachFromStop: q.detachFromStop, writer: q.writer, incoming: q.incoming,
		head: q.head, model: q.model, route: q.route, service: q.service, organisation: q.organisation, constraint: q.constraint, urgency: q.urgency,
		header: q.header, body: q.body, fingerprint: q.fingerprint, fingerprints: q.fingerprints, configNumber: q.configNumber, refusedBefore: q.refusedBefore,
		stop: q.stop, started: q.started, readAt: q.readAt, deadline: q.deadline, suspension: q.suspension, suspendedBefore: q.suspendedBefore,
		work: q.work, prefill: q.prefill, maxRun: q.maxRun,
		tried: maps.Clone(q.tried), ranAt: maps.Clone(q.ranAt), sent: q.sent, unknownOutcomes: q.unknownOutcomes, outcomesAtEvent: q.outcomesAtEvent, rejections: q.rejections,
		knownCrashes: q.knownCrashes, build: q.build, avoidBuilds: slices.Clone(q.avoidBuilds), blockedByLimits: q.blockedByLimits, isTrial: q.isTrial,
		fallback: q.fallback, liveness: probeNotRun, mayHaveRun: true, headWritten: q.headWritten,
		lastEvent: q.lastEvent, lastAttempt: q.lastAttempt, lastBackend: q.lastBackend,
		timeToFirstByte: q.timeToFirstByte, timeToLastSend: q.timeToLastSend, lastEventAt: q.lastEventAt, longestEventGap: q.longestEventGap,
		firstEventForecast: q.firstEventForecast, runLostAt: q.runLostAt, versionExpiry: q.versionExpiry,
	}
}

// absorb adds what a copy of the request has learned from its attempts, after they have ended.
func (q *request) absorb(other *request) {
	maps.Copy(q.tried, other.tried)
	maps.Copy(q.ranAt, other.ranAt)
	q.sent = max(q.sent, other.sent)
	q.unknownOutcomes = max(q.unknownOutcomes, other.unknownOutcomes)
	q.mayHaveRun = q.mayHaveRun || other.mayHaveRun
}

// isCopyOf reports whether both are copies of one request.
func (q *request) isCopyOf(other *request) bool {
	return q.incoming != nil && q.incoming == other.incoming
}
