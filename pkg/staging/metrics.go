// ================================================================
// The metrics of a stager.
// ================================================================

package staging

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/metric"
)

// metrics are the metrics of a stager.
type metrics struct {
	chunks          *prometheus.CounterVec
	version         prometheus.Gauge
	verificationAge prometheus.Histogram
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		chunks:          metric.NewCounters(metric.StagerChunks, "source"),
		version:         metric.NewGauge(metric.StagerVersionServed),
		verificationAge: metric.NewHistogram(metric.StagerVerificationAge),
	}
	r.MustRegister(m.chunks, m.version, m.verificationAge)
	return m
}
