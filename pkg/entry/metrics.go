// ================================================================
// The entry's metrics.
// ================================================================

package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics are the counters of an entry.
type metrics struct {
	requests     *prometheus.CounterVec
	retries      prometheus.Counter
	forwarded    prometheus.Counter
	unsettled    prometheus.Counter
	revision     prometheus.Gauge
	agents       prometheus.Gauge
	term         prometheus.Gauge
	leads        prometheus.Gauge
	voterStopped prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "tidepost_entry_requests_total",
			Help: "Callers' requests by how they ended: answered, or the kind of failure.",
		}, []string{"result"}),
		retries:      counter("tidepost_entry_retries_total", "Attempts after the first."),
		forwarded:    counter("tidepost_entry_forwarded_total", "Requests that came from entries of other failure domains."),
		unsettled:    counter("tidepost_entry_unsettled_claims_total", "Claims whose outcome could not be stored in time."),
		revision:     gauge("tidepost_config_revision", "Configuration revision in force here."),
		agents:       gauge("tidepost_entry_agents", "Agents of the failure domain that are heard of."),
		term:         gauge("tidepost_control_log_term", "Term of the control log, on voters."),
		leads:        gauge("tidepost_control_log_leads", "1 on the voter that leads the control log."),
		voterStopped: gauge("tidepost_control_log_stopped", "1 when the voter here has stopped, as after a disk error."),
	}
	r.MustRegister(m.requests, m.retries, m.forwarded, m.unsettled, m.revision, m.agents, m.term, m.leads, m.voterStopped)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}
