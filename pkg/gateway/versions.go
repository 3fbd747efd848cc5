// ================================================================
// The weights versions that a request may use. After a version is named both the old and the new
// one serve until the old one expires; some time before that requests go to the new one only. How
// long before depends on the recent latency to the first event at the backend server and on the run
// time of the request, so that it ends before the expiry. Only if no other server has a free slot
// may the request begin where it runs past the expiry.
//
// One margin for all backend servers would not fit: 1.2 s excluded engines with the old version too
// early when all were fast, and was too short behind a slow link.
// ================================================================

package gateway

import "time"

const (
	// minVersionMargin and maxVersionMargin bound how long before the expiry of an old version a
	// request must have begun on it.
	minVersionMargin = 300 * time.Millisecond
	maxVersionMargin = 3 * time.Second
)

// minUsableVersion returns the least version that a request may use at a backend server with this
// latency to the first event and for this run time. The request is not sent there within
// cancelMargin before the version expires.
func (g *Gateway) minUsableVersion(model string, latency, runTime, cancelMargin time.Duration) uint64 {
	margin := max(min(minVersionMargin+latency, maxVersionMargin)+runTime, cancelMargin)
	return g.versions.Due(model, g.settings.RolloutLimit()-margin, time.Now())
}

// mayRunPastExpiry reports whether a request that would still run when a version expires may begin
// on it now.
func (g *Gateway) mayRunPastExpiry(q *request) bool {
	return q.model != "" && g.minUsableVersion(q.model, 0, 0, defaultCancelMargin) < g.minUsableVersion(q.model, 0, q.maxRun, defaultCancelMargin)
}

// allowRunPastExpiry returns the requirements of a request that may run past the expiry of its
// version.
func (g *Gateway) allowRunPastExpiry(q *request, w requirements) requirements {
	w.minVersion = func(latency, margin time.Duration) uint64 { return g.minUsableVersion(q.model, latency, 0, margin) }
	return w
}

// expectedVersion returns the only version with which the backend server may run the request: the
// newest named one if it serves that. It returns 0 for none, because the backend server may switch
// to a later version while the request waits there.
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
