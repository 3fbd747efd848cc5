// ================================================================
// Requests that crash the backend servers that run them. A crash fails all other requests on that
// server, and its slots are lost for seconds: one such request, tried four times a second, kept
// twelve servers down and failed two fifths of all other requests. So gateways share what they know
// of such requests, and after three independent crashes (pkg/quarantine) a request is no longer
// sent to servers.
//
// Its caller gets a 503 at once, with the statement that the request has not run and a Retry-After
// of a minute: a later attempt may succeed once the servers are fixed.
// ================================================================

package gateway

import (
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// crashReportRate bounds the first crashes of requests that are shared per second, and
	// crashReportBurst those at one moment, about 80 bytes each: a crash ends tens of requests, and
	// nearly all of them did not cause it. A first crash that was not shared is shared with the
	// second.
	crashReportRate  = 16
	crashReportBurst = 64
	// suspectRetryAfter is when to retry a request that is already in flight here and under which
	// servers crashed before.
	suspectRetryAfter = time.Second
	// trialRequestRate bounds the trials of quarantined requests that this gateway asks for per
	// second.
	trialRequestRate = 0.5
)

// admit returns why a request may not be tried, or else a function to call when it ends.
func (g *Gateway) admit(q *request) (done func(), f *failure.Failure) {
	var verdict quarantine.Verdict
	verdict, q.avoidBuilds = g.quarantine.BeginAttempt(q.fingerprint)
	switch verdict {
	case quarantine.Suspect:
		return func() { g.quarantine.AttemptDone(q.fingerprint) }, nil
	case quarantine.Quarantined:
		return g.admitQuarantined(q)
	case quarantine.Busy:
		return nil, failure.New(failure.Overloaded, "backend servers exited while running request %s, and another attempt of it is in flight", q.fingerprint).WithRetryAfter(suspectRetryAfter)
	}
	return func() {}, nil
}

// admitQuarantined decides whether a quarantined request is tried on servers of another build, and
// returns why it is not.
func (g *Gateway) admitQuarantined(q *request) (done func(), f *failure.Failure) {
	g.recordArrival(q)
	switch g.quarantine.BeginTrial(q.fingerprint, g.tester) {
	case quarantine.TrialGranted:
		if g.hasFixedBuild(q) {
			q.isTrial = true
			return func() { g.quarantine.TrialDone(q.fingerprint, q.sent > 0) }, nil
		}
		g.quarantine.TrialDone(q.fingerprint, false)
	case quarantine.TrialDue:
		if g.hasFixedBuild(q) && g.trialLimiter.Allow() {
			g.requestTrial(q.fingerprint)
		}
	}
	return nil, quarantinedFailure(q, g.quarantine.Crashes(q.fingerprint))
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

// mayRun reports whether a request with so many independent crashes may be sent to a server. A
// trial is sent once.
func (q *request) mayRun(crashes int) bool {
	switch {
	case q.isTrial:
		return q.sent == 0
	case len(q.avoidBuilds) > 0:
		return true
	}
	return crashes < quarantine.CrashesToQuarantine
}

// quarantinedFailure is the failure of a request that is kept away from servers.
func quarantinedFailure(q *request, crashes int) *failure.Failure {
	return failure.New(failure.CrashesServers, "%d backend servers exited while running request %s", crashes, q.fingerprint)
}

// recordArrival records that a quarantined request still arrives, so that all gateways keep its
// record.
func (g *Gateway) recordArrival(q *request) {
	if r, share := g.quarantine.RecordArrival(q.fingerprint); share {
		g.publishRecords([]quarantine.Record{r})
	}
}

// crash returns the crash to record if the backend server crashed during the attempt.
func (x *exchange) crash() quarantine.Crash {
	r := x.backend.latestRegistration()
	return quarantine.NewCrash(r.Incarnation(), r.StartedAt(), r.Domain(), x.request.build, x.request.knownCrashes, 0)
}

// recordCrash records that the backend server crashed while it ran the request, and shares that
// with the other gateways.
func (x *exchange) recordCrash(crash quarantine.Crash) {
	g := x.gateway
	g.metrics.serverCrashes.Inc()
	r, share := g.quarantine.RecordCrash(x.request.fingerprint, crash)
	if !share {
		return
	}
	quarantine.LogQuarantined(g.process.Logger, []quarantine.Record{r})
	if len(r.Crashes()) > 1 || g.publishLimiter.Allow() {
		g.publishRecords([]quarantine.Record{r})
	}
}

// recordCompletion records that the request ran to completion where its answer shows that. An answer that
// ends with its connection does so only if the backend server still runs, by the probe at its end.
func (x *exchange) recordCompletion(answer *http.Response, end probeResult) {
	if end == probePending || !ranToCompletion(answer.StatusCode) {
		return
	}
	g, q := x.gateway, x.request
	if r, share := g.quarantine.RecordCompletion(q.fingerprint, q.build); share {
		g.publishRecords([]quarantine.Record{r})
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

// build returns what a backend server runs: its software, and the version of a model's weights that
// it serves, 0 where it serves none.
func (b *backend) build(model string, layers int) string {
	var version uint64
	if model != "" {
		version = b.servedVersion(model, layers)
	}
	return quarantine.Build(b.latestRegistration().Software(), version)
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
	quarantine.LogQuarantined(g.process.Logger, changed)
	if len(cleared) > 0 {
		g.publishRecords(cleared)
	}
}
