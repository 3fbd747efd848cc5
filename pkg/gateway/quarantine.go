// ================================================================
// Requests that crash the backend servers that run them, as a whole or by one part of their prompts. A
// crash fails all other requests on that server, and its slots are lost for seconds: one such request,
// tried four times a second, kept twelve servers down and failed two fifths of all other requests. So
// gateways share what they know of requests and parts, and after three independent crashes
// (pkg/quarantine) such requests are no longer sent to servers.
//
// Their callers get a 503 at once, with the statement that the request has not run and a Retry-After
// of a minute: a later attempt may succeed once the servers are fixed.
// ================================================================

package gateway

import (
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// crashReportRate bounds the crashes of requests that are shared per second although they are the
	// first, and crashReportBurst those at one moment, about 80 bytes each: a crash ends tens of
	// requests, and nearly all of them did not cause it. A first crash that was not shared is shared
	// with the second.
	crashReportRate  = 16
	crashReportBurst = 64
	// partReportRate and partReportBurst bound those of parts of prompts. They are higher, since a part
	// may come again at other gateways only.
	partReportRate  = 64
	partReportBurst = 256
	// maxParts bounds the parts of one prompt that are considered.
	maxParts = 16
	// suspectRetryAfter is when to retry a request that is already in flight here and under which
	// servers crashed before.
	suspectRetryAfter = time.Second
	// trialRequestRate bounds the trials of quarantined requests that this gateway asks for per
	// second.
	trialRequestRate = 0.5
)

// reportLimiters bound the crashes that are shared although they may never count, by what they are
// recorded for.
type reportLimiters struct {
	requests, parts *rate.Limiter
	// completedRequests and completedParts bound those of what ran to completion before.
	completedRequests, completedParts *rate.Limiter
}

func newReportLimiters() reportLimiters {
	return reportLimiters{
		requests:          rate.NewLimiter(crashReportRate, crashReportBurst),
		parts:             rate.NewLimiter(partReportRate, partReportBurst),
		completedRequests: rate.NewLimiter(crashReportRate, crashReportBurst),
		completedParts:    rate.NewLimiter(partReportRate, partReportBurst),
	}
}

// allow reports whether a record is shared that has a first crash only.
func (l reportLimiters) allow(r quarantine.Record) bool {
	isPart, hasCompleted := r.Fingerprint().Part() != "", len(r.CompletedOn()) > 0
	switch {
	case isPart && hasCompleted:
		return l.completedParts.Allow()
	case isPart:
		return l.parts.Allow()
	case hasCompleted:
		return l.completedRequests.Allow()
	}
	return l.requests.Allow()
}

// setFingerprints sets what may crash servers: the request as a whole and the parts of its prompt.
func (q *request) setFingerprints() {
	q.fingerprint = quarantine.NewFingerprint(q.content())
	q.fingerprints = []quarantine.Fingerprint{q.fingerprint}
	for _, id := range q.head.PromptParts[:min(len(q.head.PromptParts), maxParts)] {
		if part := quarantine.NewPartFingerprint(id); !slices.Contains(q.fingerprints, part) {
			q.fingerprints = append(q.fingerprints, part)
		}
	}
}

// admit returns why a request may not be tried, or else a function to call when it ends.
func (g *Gateway) admit(q *request) (done func(), f *failure.Failure) {
	d := g.quarantine.Begin(q.fingerprints...)
	q.avoidBuilds = d.Avoid()
	switch d.Verdict() {
	case quarantine.Suspect:
		return func() { g.quarantine.End(d) }, nil
	case quarantine.Quarantined:
		return g.admitQuarantined(q, d)
	case quarantine.Busy:
		return nil, failure.New(failure.Overloaded, "backend servers exited while running request %s or others with a part of its prompt, and another attempt is in flight", q.fingerprint).WithRetryAfter(suspectRetryAfter)
	}
	return func() {}, nil
}

// admitQuarantined decides whether a quarantined request is tried on servers of another build, and
// returns why it is not.
func (g *Gateway) admitQuarantined(q *request, d quarantine.Decision) (done func(), f *failure.Failure) {
	cause := d.Cause()
	g.recordArrival(cause)
	if !d.MayBeTried() {
		return nil, quarantinedFailure(q, d)
	}
	switch g.quarantine.BeginTrial(cause, g.tester) {
	case quarantine.TrialGranted:
		if g.hasFixedBuild(q) {
			q.isTrial = true
			return func() { g.quarantine.TrialDone(cause, q.sent > 0) }, nil
		}
		g.quarantine.TrialDone(cause, false)
	case quarantine.TrialDue:
		if g.hasFixedBuild(q) && g.trialLimiter.Allow() {
			g.requestTrial(cause)
		}
	}
	return nil, quarantinedFailure(q, d)
}

// hasFixedBuild reports whether a server is ready that runs a build in which the crash may be
// fixed.
func (g *Gateway) hasFixedBuild(q *request) bool {
	model, layers := q.modelAndLayers()
	for _, b := range g.backends.forService(q.service.Name()) {
		l := b.load(time.Now())
		holds := model == "" || b.servedVersion(model, layers) > 0
		if l.serves() && l.state == registry.Ready && holds && quarantine.MayBeFixed(b.build(model, layers), q.avoidBuilds) {
			return true
		}
	}
	return false
}

// mayRun reports whether a request may be sent to a server after a decision. A trial is sent once.
func (q *request) mayRun(d quarantine.Decision) bool {
	if q.isTrial {
		return q.sent == 0
	}
	if d.Verdict() == quarantine.Restricted {
		q.avoidBuilds = d.Avoid()
	}
	return d.Verdict() != quarantine.Quarantined
}

// quarantinedFailure is the failure of a request that is kept away from servers.
func quarantinedFailure(q *request, d quarantine.Decision) *failure.Failure {
	if part := d.Cause().Part(); part != "" {
		return failure.New(failure.CrashesServers, "%d backend servers exited while running requests with part %s of their prompts", d.Crashes(), part)
	}
	return failure.New(failure.CrashesServers, "%d backend servers exited while running request %s", d.Crashes(), q.fingerprint)
}

// recordArrival records that a quarantined request still arrives, so that all gateways keep its
// record.
func (g *Gateway) recordArrival(f quarantine.Fingerprint) {
	if r, share := g.quarantine.RecordArrival(f); share {
		g.publishRecords([]quarantine.Record{r})
	}
}

// observedCrash is the crash of a backend server during an attempt.
type observedCrash struct {
	process      registry.Registration
	build        string
	at           time.Time
	knownCrashes map[quarantine.Fingerprint]int // when the attempt was sent
}

// crash returns the crash to record if the backend server crashed during the attempt.
func (x *exchange) crash() observedCrash {
	return observedCrash{x.backend.latestRegistration(), x.request.build, time.Now(), x.request.knownCrashes}
}

// record returns the crash as it is recorded for a fingerprint.
func (c observedCrash) record(f quarantine.Fingerprint) quarantine.Crash {
	return quarantine.NewCrash(c.process.Incarnation(), c.process.StartedAt(), c.process.Domain(), c.build, c.knownCrashes[f], time.Since(c.at))
}

// recordCrash records that the backend server crashed while it ran the request, and shares that
// with the other gateways.
func (x *exchange) recordCrash(crash observedCrash) {
	g := x.gateway
	g.metrics.serverCrashes.Inc()
	var shared []quarantine.Record
	for _, f := range x.request.fingerprints {
		r, changed := g.quarantine.RecordCrash(f, crash.record(f))
		if changed && (r.IsSuspicious() || g.reportLimiters.allow(r)) {
			shared = append(shared, r)
		}
	}
	quarantine.LogQuarantined(g.process.Logger, g.quarantine, shared)
	if len(shared) > 0 {
		g.publishRecords(shared)
	}
}

// recordCompletion records that the request ran to completion where its answer, which is known to be
// complete, shows that. An answer that reports a failure says nothing of the parts of the prompt, which may
// not have been read.
func (x *exchange) recordCompletion(answer *http.Response) {
	g, q := x.gateway, x.request
	if !ranToCompletion(answer.StatusCode) {
		return
	}
	completed := q.fingerprints
	if answer.StatusCode >= http.StatusMultipleChoices {
		completed = completed[:1]
	}
	var shared []quarantine.Record
	for _, f := range completed {
		if r, share := g.quarantine.RecordCompletion(f, q.build); share {
			shared = append(shared, r)
		}
	}
	if len(shared) > 0 {
		g.publishRecords(shared)
	}
}

// ranToCompletion reports whether a backend server that answers with a status has run the request
// to completion: with success, or with an error that it found in the request or by running it.
func ranToCompletion(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// build returns what a backend server runs: its software, and for engines the model and the version of its
// weights that it serves, 0 where it serves none.
func (b *backend) build(model string, layers int) string {
	software := b.latestRegistration().Software()
	if model == "" {
		return quarantine.Build(software, 0)
	}
	return quarantine.Build(software+"/"+model, b.servedVersion(model, layers))
}

// modelAndLayers returns the model that a request needs, empty for plain services, and its number
// of layers.
func (q *request) modelAndLayers() (model string, layers int) {
	return q.model, max(q.service.Engine().Layers(), 1)
}

// mergeRecords merges records from a control node. Where one holds crashes against a request that
// ran to completion here, that is shared with the other gateways.
func (g *Gateway) mergeRecords(records []quarantine.Record) {
	changed, cleared := g.quarantine.Merge(records)
	quarantine.LogQuarantined(g.process.Logger, g.quarantine, changed)
	if len(cleared) > 0 {
		g.publishRecords(cleared)
	}
}
