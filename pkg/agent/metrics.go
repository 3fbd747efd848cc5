// ================================================================
// The agent's metrics.
// ================================================================

package agent

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of an agent.
type metrics struct {
	requests       *prometheus.CounterVec
	chunksServed   prometheus.Counter
	corruptChunks  prometheus.Counter
	sourceRefusals prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tidepost_agent_requests_total",
			Help: "Requests by how they ended: answered, or the kind of failure.",
		}, []string{"result"}),
		chunksServed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tidepost_agent_chunks_served_total",
			Help: "Chunks sent to other agents.",
		}),
		corruptChunks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tidepost_agent_corrupt_chunks_total",
			Help: "Chunks that came with another digest and were refused.",
		}),
		sourceRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "tidepost_agent_source_refusals_total",
			Help: "Draws that the origin or the weight store refused.",
		}),
	}
	r.MustRegister(m.requests, m.chunksServed, m.corruptChunks, m.sourceRefusals)
	return m
}
