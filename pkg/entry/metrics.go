// ================================================================
// Prometheus metrics of an entry.
// ================================================================

package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/metric"
)

// metrics are the counters and gauges of an entry.
type metrics struct {
	requests        *prometheus.CounterVec
	retries         prometheus.Counter
	forwarded       prometheus.Counter
	unsettledClaims prometheus.Counter
	revision        prometheus.Gauge
	agents          prometheus.Gauge
	term            prometheus.Gauge
	isLeader        prometheus.Gauge
	voterStopped    prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests:        metric.NewCounters(metric.EntryRequests, "result"),
		retries:         metric.NewCounter(metric.EntryRetries),
		forwarded:       metric.NewCounter(metric.EntryForwarded),
		unsettledClaims: metric.NewCounter(metric.EntryUnsettledClaims),
		revision:        metric.NewGauge(metric.ConfigRevision),
		agents:          metric.NewGauge(metric.EntryAgents),
		term:            metric.NewGauge(metric.ControlLogTerm),
		isLeader:        metric.NewGauge(metric.ControlLogLeads),
		voterStopped:    metric.NewGauge(metric.ControlLogStopped),
	}
	r.MustRegister(m.requests, m.retries, m.forwarded, m.unsettledClaims, m.revision, m.agents, m.term, m.isLeader, m.voterStopped)
	return m
}
