// ================================================================
// Requests that end the backend servers that run them. A server that ends takes all its
// requests with it, and each end costs its place for seconds: one such request, tried
// four times a second, kept twelve servers down and two fifths of all other work unserved.
// So what is known of such requests is told to all gateways, and after three separate
// ends (pkg/quarantine) a request is kept away from servers.
//
// Its caller is told at once that it has not run, and to come back in a minute: 503 is
// the promise that is true here, and a later one may be answered where servers are mended.
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
	// crashReportRate bounds the first ends of requests that are told a second, and endsToldAtOnce
	// those of one moment, some 80 bytes each: a server ends with tens of requests, nearly
	// all innocent. What goes untold is told with the second end.
	crashReportRate  = 16
	crashReportBurst = 64
	// suspectRetryAfter is when a request may come back that is under way here already, and
	// under which servers ended before.
	suspectRetryAfter = time.Second
	// trialRequestRate bounds the trials of barred requests that are asked for a second.
	trialRequestRate = 0.5
)

// admit tells why a request may not be tried; where it may, done is to be called at its end.
func (g *Gateway) admit(q *request) (done func(), f *failure.Failure) {
	var verdict quarantine.Verdict
	verdict, q.avoid = g.quarantine.Begin(q.fingerprint)
	switch verdict {
	case quarantine.Suspect:
		return func() { g.quarantine.TryDone(q.fingerprint) }, nil
	case quarantine.Quarantined:
		return g.admitQuarantined(q)
	case quarantine.Busy:
		return nil, failure.New(failure.Overloaded, "backend servers ended under request %s, and a try of it is under way", q.fingerprint).WithRetryAfter(suspectRetryAfter)
	}
	return func() {}, nil
}

// admitQuarantined tells whether a request that is kept away from servers is to be tried on
// those of another build, and else why not.
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

// hasFixedBuild tells whether a server serves that may be mended.
func (g *Gateway) hasFixedBuild(q *request) bool {
	model, layers := q.modelAndLayers()
	for _, b := range g.backends.forService(q.service.Name()) {
		l := b.load(time.Now())
		holds := model == "" || b.servedVersion(model, layers) > 0
		if l.serves() && l.state == registry.Ready && holds && quarantine.MayBeFixed(b.build(model, layers), q.avoid) {
			return true
		}
	}
	return false
}

// mayRun tells whether so many ends held against a request let it be sent to a server. A
// trial is sent once.
func (q *request) mayRun(ends int) bool {
	switch {
	case q.isTrial:
		return q.sent == 0
	case len(q.avoid) > 0:
		return true
	}
	return ends < quarantine.CrashesToQuarantine
}

// quarantinedFailure is the failure of a request that is kept away from servers.
func quarantinedFailure(q *request, ends int) *failure.Failure {
	return failure.New(failure.EndsServers, "%d backend servers ended under request %s", ends, q.fingerprint)
}

// recordArrival has the others remember a request that still comes.
func (g *Gateway) recordArrival(q *request) {
	if r, tell := g.quarantine.RecordArrival(q.fingerprint); tell {
		g.publishRecords([]quarantine.Record{r})
	}
}

// crash is what is told of the backend server if it ended under the attempt.
func (x *exchange) crash() quarantine.Crash {
	word := x.backend.latestRegistration()
	return quarantine.NewCrash(word.Incarnation(), word.StartedAt(), word.Domain(), x.request.build, x.request.knownServerExits, 0)
}

// recordCrash notes that the backend server ended while it had the request.
func (x *exchange) recordCrash(end quarantine.Crash) {
	g := x.gateway
	g.metrics.serverExits.Inc()
	r, tell := g.quarantine.RecordCrash(x.request.fingerprint, end)
	if !tell {
		return
	}
	quarantine.LogQuarantined(g.process.Logger, []quarantine.Record{r})
	if len(r.Crashes()) > 1 || g.publishLimiter.Allow() {
		g.publishRecords([]quarantine.Record{r})
	}
}

// recordCompletion notes that the request ran whole where its answer shows that. The answer must
// say itself where it ends: one that ends with its connection may have been broken off.
func (x *exchange) recordCompletion(answer *http.Response) {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if !framed || !ranToCompletion(answer.StatusCode) {
		return
	}
	g, q := x.gateway, x.request
	if r, tell := g.quarantine.RecordCompletion(q.fingerprint, q.build); tell {
		g.publishRecords([]quarantine.Record{r})
	}
}

// ranToCompletion tells whether a backend server that answers with a status has run the request to
// its end: with success, or with a failure that it found in the request or by running it.
func ranToCompletion(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false
	}
	return true
}

// build is what a backend server runs: its software, and the version of a model's weights
// that it serves, 0 where it has none.
func (b *backend) build(model string, layers int) string {
	var version uint64
	if model != "" {
		version = b.servedVersion(model, layers)
	}
	return quarantine.Build(b.latestRegistration().Software(), version)
}

// modelAndLayers are the model that a request needs, empty for plain services, and its layers.
func (q *request) modelAndLayers() (model string, layers int) {
	return q.model, max(q.service.Engine().Layers(), 1)
}

// mergeRecords takes what a control node tells. Of a request that ran whole here the
// others are told so.
func (g *Gateway) mergeRecords(records []quarantine.Record) {
	changed, cleared := g.quarantine.Merge(records)
	quarantine.LogQuarantined(g.process.Logger, changed)
	if len(cleared) > 0 {
		g.publishRecords(cleared)
	}
}
