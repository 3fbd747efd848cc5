// ================================================================
// Which version of a model's weights a request may use. Shortly after a version
// was named both the old and the new one serve; from some time before the end
// of the agreed time on only the new one does. How long before depends on how
// long requests took to begin at the backend server of late, and on how long the request
// runs: one that is over by then can't begin late. Only where no other has a place does it
// begin where it will run on past that time, as it may.
//
// Rejected: the same margin for all. 1.2 s took old engines out too early when
// all of them were quick, and was too short behind a narrow link.
// ================================================================

package gateway

import "time"

const (
	// minVersionMargin and mostMargin bound how long before the end of the agreed time a
	// request must have begun on an old version.
	minVersionMargin = 300 * time.Millisecond
	maxVersionMargin = 3 * time.Second
)

// minUsableVersion returns the least version that a request may use at a backend server
// where requests took begins to begin, and that it runs on for no longer than run. It is not
// sent within back before the version lapses.
func (g *Gateway) minUsableVersion(model string, begins, run, back time.Duration) uint64 {
	margin := max(min(minVersionMargin+begins, maxVersionMargin)+run, back)
	return g.versions.Due(model, g.settings.WeightsWithin()-margin, time.Now())
}

// mayRunPastExpiry tells whether a request that would still run when a version lapses may begin
// on it now.
func (g *Gateway) mayRunPastExpiry(q *request) bool {
	return q.model != "" && g.minUsableVersion(q.model, 0, 0, defaultCancelMargin) < g.minUsableVersion(q.model, 0, q.maxRun, defaultCancelMargin)
}

// allowRunPastExpiry is what a backend server must satisfy where a request may run on past the end of
// its version.
func (g *Gateway) allowRunPastExpiry(q *request, w requirements) requirements {
	w.minVersion = func(begins, back time.Duration) uint64 { return g.minUsableVersion(q.model, begins, 0, back) }
	return w
}

// expectedVersion returns the version that a backend server is told to insist
// on: the newest named one where it serves that; 0 for none, since a backend
// server may go on to a later version while the request waits there.
func (g *Gateway) expectedVersion(q *request, b *backend) uint64 {
	layers := q.service.Engine().Layers()
	if q.service.Engine().Slots() == 0 || q.model == "" {
		return 0
	}
	newest := g.versions.Due(q.model, 0, time.Now())
	if newest > 0 && b.servedVersion(q.model, max(layers, 1)) == newest {
		return newest
	}
	return 0
}
