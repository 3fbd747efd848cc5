// ================================================================
// Prometheus metrics of an agent.
// ================================================================

package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/metric"
)

// metrics are the counters of an agent.
type metrics struct {
	requests       *prometheus.CounterVec
	chunksServed   prometheus.Counter
	corruptChunks  prometheus.Counter
	sourceRefusals prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests:       metric.NewCounters(metric.AgentRequests, "result"),
		chunksServed:   metric.NewCounter(metric.AgentChunksServed),
		corruptChunks:  metric.NewCounter(metric.AgentCorruptChunks),
		sourceRefusals: metric.NewCounter(metric.AgentSourceRefusals),
	}
	r.MustRegister(m.requests, m.chunksServed, m.corruptChunks, m.sourceRefusals)
	return m
}
