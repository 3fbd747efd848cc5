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
	// endsTold bounds the first ends of requests that are told a second, and endsToldAtOnce
	// those of one moment, some 80 bytes each: a server ends with tens of requests, nearly
	// all innocent. What goes untold is told with the second end.
	endsTold       = 16
	endsToldAtOnce = 64
	// besideSuspect is when a request may come back that is under way here already, and
	// under which servers ended before.
	besideSuspect = time.Second
	// trialsAsked bounds the trials of barred requests that are asked for a second.
	trialsAsked = 0.5
)

// admit tells why a request may not be tried; where it may, done is to be called at its end.
func (g *Gateway) admit(q *request) (done func(), f *failure.Failure) {
	var verdict quarantine.Verdict
	verdict, q.avoid = g.quarantine.Begin(q.fingerprint)
	switch verdict {
	case quarantine.Suspect:
		return func() { g.quarantine.Done(q.fingerprint) }, nil
	case quarantine.Barred:
		return g.admitBarred(q)
	case quarantine.Busy:
		return nil, failure.New(failure.Overloaded, "backend servers ended under request %s, and a try of it is under way", q.fingerprint).WithRetryAfter(besideSuspect)
	}
	return func() {}, nil
}

// admitBarred tells whether a request that is kept away from servers is to be tried on
// those of another build, and else why not.
func (g *Gateway) admitBarred(q *request) (done func(), f *failure.Failure) {
	g.askedForBarred(q)
	switch g.quarantine.BeginTrial(q.fingerprint, g.tester) {
	case quarantine.Granted:
		if g.hasMendedBuild(q) {
			q.isTrial = true
			return func() { g.quarantine.TrialDone(q.fingerprint, q.sent > 0) }, nil
		}
		g.quarantine.TrialDone(q.fingerprint, false)
	case quarantine.MayAsk:
		if g.hasMendedBuild(q) && g.trialLimiter.Allow() {
			g.requestTrial(q.fingerprint)
		}
	}
	return nil, endsServers(q, g.quarantine.Ends(q.fingerprint))
}

// hasMendedBuild tells whether a server serves that may be mended.
func (g *Gateway) hasMendedBuild(q *request) bool {
	model, layers := q.modelAndLayers()
	for _, b := range g.backends.forService(q.service.Name()) {
		l := b.load(time.Now())
		holds := model == "" || b.servedVersion(model, layers) > 0
		if l.serves() && l.state == registry.Ready && holds && quarantine.MayBeMended(b.build(model, layers), q.avoid) {
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
	return ends < quarantine.EndsToBar
}

// endsServers is the failure of a request that is kept away from servers.
func endsServers(q *request, ends int) *failure.Failure {
	return failure.New(failure.EndsServers, "%d backend servers ended under request %s", ends, q.fingerprint)
}

// askedForBarred has the others remember a request that still comes.
func (g *Gateway) askedForBarred(q *request) {
	if r, tell := g.quarantine.Asked(q.fingerprint); tell {
		g.publishRecords([]quarantine.Record{r})
	}
}

// endOfServer is what is told of the backend server if it ended under the attempt.
func (x *exchange) endOfServer() quarantine.End {
	word := x.backend.latestRegistration()
	return quarantine.NewEnd(word.Incarnation(), word.StartedAt(), word.Domain(), x.request.build, x.request.knownServerExits, 0)
}

// sawEnd notes that the backend server ended while it had the request.
func (x *exchange) sawEnd(end quarantine.End) {
	g := x.gateway
	g.metrics.serverExits.Inc()
	r, tell := g.quarantine.Ended(x.request.fingerprint, end)
	if !tell {
		return
	}
	quarantine.LogBarred(g.process.Logger, []quarantine.Record{r})
	if len(r.Ends()) > 1 || g.publishLimiter.Allow() {
		g.publishRecords([]quarantine.Record{r})
	}
}

// sawWhole notes that the request ran whole where its answer shows that. The answer must
// say itself where it ends: one that ends with its connection may have been broken off.
func (x *exchange) sawWhole(answer *http.Response) {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if !framed || !ranWhole(answer.StatusCode) {
		return
	}
	g, q := x.gateway, x.request
	if r, tell := g.quarantine.Ran(q.fingerprint, q.build); tell {
		g.publishRecords([]quarantine.Record{r})
	}
}

// ranWhole tells whether a backend server that answers with a status has run the request to
// its end: with success, or with a failure that it found in the request or by running it.
func ranWhole(status int) bool {
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

// learnRecords takes what a control node tells. Of a request that ran whole here the
// others are told so.
func (g *Gateway) learnRecords(records []quarantine.Record) {
	changed, cleared := g.quarantine.Merge(records)
	quarantine.LogBarred(g.process.Logger, changed)
	if len(cleared) > 0 {
		g.publishRecords(cleared)
	}
}
