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
	"fmt"
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

const (
	// endsTold bounds the ends told a second, and endsToldAtOnce those of one moment, some
	// 80 bytes each: a server ends with tens of requests. What goes untold is found again
	// with the next end.
	endsTold       = 64
	endsToldAtOnce = 256
	// besideSuspect is when a request may come back that is under way here already, and
	// under which servers ended before.
	besideSuspect = time.Second
)

// admit tells why a request may not be tried; where it may, done is to be called at its end.
func (g *Gateway) admit(q *request) (done func(), f *failure.Failure) {
	switch g.quarantine.Begin(q.fingerprint) {
	case quarantine.Suspect:
		return func() { g.quarantine.End(q.fingerprint) }, nil
	case quarantine.Barred:
		g.askedForBarred(q)
		return nil, endsServers(q, g.quarantine.Ends(q.fingerprint))
	case quarantine.Busy:
		return nil, failure.New(failure.Overloaded, "backend servers ended under request %s, and a try of it is under way", q.fingerprint).WithRetryAfter(besideSuspect)
	}
	return func() {}, nil
}

// endsServers is the failure of a request that is kept away from servers.
func endsServers(q *request, ends int) *failure.Failure {
	return failure.New(failure.EndsServers, "%d backend servers ended under request %s", ends, q.fingerprint)
}

// askedForBarred has the others remember a request that still comes.
func (g *Gateway) askedForBarred(q *request) {
	if r, tell := g.quarantine.Asked(q.fingerprint); tell {
		g.tellRecords([]quarantine.Record{r})
	}
}

// sawEnd notes that the backend server ended while it had the request.
func (x *exchange) sawEnd() {
	g, q := x.gateway, x.request
	g.metrics.ends.Inc()
	word := x.backend.word()
	end := quarantine.NewEnd(word.Incarnation(), word.Born(), word.Domain(), x.backend.build(q), q.knownEnds, 0)
	r, tell := g.quarantine.Ended(q.fingerprint, end)
	if !tell {
		return
	}
	quarantine.LogBarred(g.process.Logger, []quarantine.Record{r})
	if r.IsBarred() || g.mayTell.Allow() {
		g.tellRecords([]quarantine.Record{r})
	}
}

// sawWhole notes that the request ran whole: an answer with success that says itself where
// it ends. One that ends with its connection may have been broken off.
func (x *exchange) sawWhole(answer *http.Response) {
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if !framed || answer.StatusCode >= http.StatusMultipleChoices {
		return
	}
	g, q := x.gateway, x.request
	if r, tell := g.quarantine.Ran(q.fingerprint, x.backend.build(q)); tell {
		g.tellRecords([]quarantine.Record{r})
	}
}

// build is what a backend server runs: its software, and its weights of the request's model.
func (b *backend) build(q *request) string {
	return fmt.Sprintf("%s/%d", b.word().Software(), q.lapse.served)
}

// learnRecords takes what a control node tells. Of a request that ran whole here the
// others are told so.
func (g *Gateway) learnRecords(records []quarantine.Record) {
	changed, cleared := g.quarantine.Merge(records)
	quarantine.LogBarred(g.process.Logger, changed)
	if len(cleared) > 0 {
		g.tellRecords(cleared)
	}
}
