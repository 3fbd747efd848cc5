// ================================================================
// The Prometheus metrics of a gateway.
// ================================================================

package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/metric"
)

// metrics holds a gateway's Prometheus collectors.
type metrics struct {
	requests          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	reservations      *prometheus.CounterVec
	silentConnections *prometheus.CounterVec
	firstEvent        prometheus.Histogram
	promptTokens      *prometheus.HistogramVec
	inFlight          prometheus.Gauge
	configNumber      prometheus.Gauge
	serverCrashes     prometheus.Counter
	probes            *prometheus.CounterVec
	quarantined       prometheus.Gauge
	quarantinedParts  prometheus.Gauge
	limitedServers    prometheus.Gauge
	limitSkips        *prometheus.CounterVec
	interrupted       *prometheus.CounterVec
	borrowed          prometheus.Counter
	uncounted         prometheus.Counter
	evacuatedDomains  prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests:          metric.NewCounters(metric.GatewayRequests, "outcome"),
		attempts:          metric.NewCounters(metric.GatewayAttempts, "end"),
		reservations:      metric.NewCounters(metric.GatewayReservations, "answer"),
		silentConnections: metric.NewCounters(metric.GatewaySilentConnections, "evidence"),
		firstEvent:        metric.NewHistogram(metric.GatewayFirstEvent),
		promptTokens:      metric.NewTokenHistograms(metric.GatewayPromptTokens, "outcome"),
		inFlight:          metric.NewGauge(metric.GatewayInFlight),
		configNumber:      metric.NewGauge(metric.GatewayConfigNumber),
		serverCrashes:     metric.NewCounter(metric.GatewayServerCrashes),
		probes:            metric.NewCounters(metric.GatewayProbes, "result"),
		quarantined:       metric.NewGauge(metric.GatewayQuarantined),
		quarantinedParts:  metric.NewGauge(metric.GatewayQuarantinedParts),
		limitedServers:    metric.NewGauge(metric.GatewayLimitedServers),
		limitSkips:        metric.NewCounters(metric.GatewayLimitSkips, "why"),
		interrupted:       metric.NewCounters(metric.GatewayStreamsInterrupted, "reason"),
		borrowed:          metric.NewCounter(metric.GatewayRetriesBorrowed),
		uncounted:         metric.NewCounter(metric.GatewayRetriesUncounted),
		evacuatedDomains:  metric.NewGauge(metric.GatewayEvacuatedDomains),
	}
	r.MustRegister(m.requests, m.attempts, m.reservations, m.silentConnections, m.firstEvent, m.promptTokens, m.inFlight, m.configNumber, m.serverCrashes, m.probes, m.quarantined, m.quarantinedParts, m.limitedServers, m.limitSkips, m.interrupted, m.borrowed, m.uncounted, m.evacuatedDomains)
	return m
}
