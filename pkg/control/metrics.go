// ================================================================
// The metrics of a control node.
// ================================================================

package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/metric"
)

// metrics are the metrics of one node.
type metrics struct {
	heartbeats          prometheus.Counter
	configurationNumber prometheus.Gauge
}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		heartbeats:          metric.NewCounter(metric.ControlHeartbeats),
		configurationNumber: metric.NewGauge(metric.ControlConfigNumber),
	}
	r.MustRegister(m.heartbeats, m.configurationNumber)
	return m
}
