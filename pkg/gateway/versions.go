// ================================================================
// Which version of a model's weights a request may use. Shortly after a version
// was named both the old and the new one serve; from some time before the end
// of the agreed time on only the new one does. How long before depends on how
// long requests took to begin at the backend server of late, and on how long the request
// runs: it has to be over by then, since its deadline there ends with the agreed time.
//
// Rejected: the same margin for all. 1.2 s took old engines out too early when
// all of them were quick, and was too short behind a narrow link.
// ================================================================

package gateway

import "time"

const (
	// leastMargin and mostMargin bound how long before the end of the agreed
	// time an old version gets no more requests.
	leastMargin = 300 * time.Millisecond
	mostMargin  = 3 * time.Second
)

// leastVersion returns the least version that a request may use at a backend
// server where requests took begins to begin.
func (g *Gateway) leastVersion(q *request, begins time.Duration) uint64 {
	margin := min(leastMargin+begins+q.run, mostMargin)
	return g.versions.Due(q.call.Model, g.settings.WeightsWithin()-margin, time.Now())
}

// expectedVersion returns the version that a backend server is told to insist
// on: the newest named one where it serves that; 0 for none, since a backend
// server may go on to a later version while the request waits there.
func (g *Gateway) expectedVersion(q *request, b *backend) uint64 {
	layers := q.service.Engine().Layers()
	if q.service.Engine().Slots() == 0 || q.call.Model == "" {
		return 0
	}
	newest := g.versions.Due(q.call.Model, 0, time.Now())
	if newest > 0 && b.servedVersion(q.call.Model, max(layers, 1)) == newest {
		return newest
	}
	return 0
}
