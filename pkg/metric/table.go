// ================================================================
// The table of metrics: names, kinds and meanings. The daemons make their
// metrics from it, and docs/METRICS.md is printed from it.
// ================================================================

// Package metric holds the table of the metrics that the daemons export.
package metric

import "github.com/prometheus/client_golang/prometheus"

// Names of the metrics.
const (
	EntryRequests        = "tidepost_entry_requests_total"
	EntryRetries         = "tidepost_entry_retries_total"
	EntryForwarded       = "tidepost_entry_forwarded_total"
	EntryUnsettledClaims = "tidepost_entry_unsettled_claims_total"
	EntryAgents          = "tidepost_entry_agents"
	ConfigRevision       = "tidepost_config_revision"
	ControlLogTerm       = "tidepost_control_log_term"
	ControlLogLeads      = "tidepost_control_log_leads"
	ControlLogStopped    = "tidepost_control_log_stopped"
	AgentRequests        = "tidepost_agent_requests_total"
	AgentChunksServed    = "tidepost_agent_chunks_served_total"
	AgentCorruptChunks   = "tidepost_agent_corrupt_chunks_total"
	AgentSourceRefusals  = "tidepost_agent_source_refusals_total"
	InvariantBroken      = "tidepost_invariant_broken_total"

	ControlHeartbeats         = "tidepost_control_heartbeats_total"
	ControlConfigNumber       = "tidepost_control_configuration_number"
	GatewayRequests           = "tidepost_gateway_requests_total"
	GatewayAttempts           = "tidepost_gateway_attempts_total"
	GatewayReservations       = "tidepost_gateway_reservations_total"
	GatewaySilentConnections  = "tidepost_gateway_distrusted_connections_total"
	GatewayFirstEvent         = "tidepost_gateway_first_event_seconds"
	GatewayInFlight           = "tidepost_gateway_requests_in_flight"
	GatewayServerExits        = "tidepost_gateway_ended_backend_servers_total"
	GatewayQuarantined        = "tidepost_gateway_quarantined_requests"
	GatewayLimitedServers     = "tidepost_gateway_limited_backend_servers"
	GatewayLimitSkips         = "tidepost_gateway_held_back_total"
	GatewayRetriesBorrowed    = "tidepost_gateway_repeats_borrowed_total"
	GatewayRetriesUncounted   = "tidepost_gateway_repeats_uncounted_total"
	GatewayStreamsInterrupted = "tidepost_gateway_streams_interrupted_total"
	GatewayConfigNumber       = "tidepost_gateway_configuration_number"
	StagerChunks              = "tidepost_stager_chunks_total"
	StagerVersionServed       = "tidepost_stager_version"
	LinkLivenessChecks        = "tidepost_link_doubts_total"
	LogLinesDropped           = "tidepost_log_lines_dropped_total"
)

// Row describes one metric.
type Row struct {
	Name    string
	Process string
	Help    string
	Remedy  string
}

var rows = []Row{
	{EntryRequests, "entry", "Callers' requests by how they ended: answered, or the kind of failure.", "look the kind up in ERRORS.md"},
	{EntryRetries, "entry", "Attempts after the first.", "many: an agent refuses or fails; see tidepost_agent_requests_total by VM"},
	{EntryForwarded, "entry", "Requests that came from entries of other failure domains.", "lasting: the other domain lacks ready replicas"},
	{EntryUnsettledClaims, "entry", "Claims whose outcome could not be stored in time.", "their keys answer outcome_unknown; look for a lost quorum"},
	{EntryAgents, "entry", "Agents of the failure domain that are heard of.", "falls: VMs were withdrawn, or a link is cut"},
	{ConfigRevision, "entry", "Configuration revision in force here.", "differs between entries for more than 6 s: tidepost status names who lags"},
	{ControlLogTerm, "entry", "Term of the control log, on voters.", "grows often: leaders are lost; look at disks and links of voters"},
	{ControlLogLeads, "entry", "1 on the voter that leads the control log.", "sum over voters 0 for long: no quorum"},
	{ControlLogStopped, "entry", "1 when the voter here has stopped, as after a disk error.", "read the log line, mend the disk, restart; or replace the voter"},
	{AgentRequests, "agent", "Requests by how they ended: answered, or the kind of failure.", "look the kind up in ERRORS.md"},
	{AgentChunksServed, "agent", "Chunks sent to other agents.", "0 on a VM that holds a copy in a burst: its link is stalled"},
	{AgentCorruptChunks, "agent", "Chunks that came with another digest and were refused.", "the time line names the senders (chunk_refused); from the origin: apply the model again"},
	{AgentSourceRefusals, "agent", "Draws that the origin or the weight store refused.", "the source is over its rate; the copy goes on from other VMs"},
	{ControlHeartbeats, "control", "Heartbeats of backend servers taken here.", "falls to 0 while backend servers run: they call other nodes; a cut"},
	{ControlConfigNumber, "control", "Number of the newest service configuration applied here.", "behind the other nodes: this one is cut off or its disk fails"},
	{GatewayRequests, "gateway", "Callers' requests by outcome.", "look up one request's id in the logs; see OPERATIONS.md"},
	{GatewayAttempts, "gateway", "Attempts at backend servers by how they ended.", "unreachable or silent: look at the backend server named in the log lines"},
	{GatewayReservations, "gateway", "Questions for places at engines by their answer: granted, refused or unanswered.", "many unanswered: stagers are down or their links full; many refused: the engines are at their capacity"},
	{GatewaySilentConnections, "gateway", "Connections to backend servers that were given up as silent, by evidence: suspected (resting ones), newer or many.", "many: a device on the way forgets connections; the log lines name the addresses"},
	{GatewayFirstEvent, "gateway", "Time to the answer or to the first event of a stream, in seconds.", "over the objective: too few backend servers, or slow ones"},
	{GatewayInFlight, "gateway", "Requests in flight.", "grows without end: backend servers hang"},
	{GatewayServerExits, "gateway", "Attempts under which the backend server ended: its port was closed right afterwards.", "grows by more than a server's requests at a time: one request may end them; the log lines of attempts have its fingerprint"},
	{GatewayQuarantined, "gateway", "Requests that are kept away from backend servers, since these ended under them.", "above zero: find the fingerprint in the log lines 'request ends backend servers', and what ends the servers"},
	{GatewayLimitedServers, "gateway", "Backend servers that name a limit of the requests that they take, as far as heard here.", "above zero: a backend server is in need; the log lines 'backend server names a limit' say which one and what it takes"},
	{GatewayRetriesBorrowed, "gateway", "Repeats for streams under way that another gateway lent.", "many: the budget of repeats is spent unevenly; look for the backend servers that break streams off"},
	{GatewayStreamsInterrupted, "gateway", "Streams that their caller had part of when the gateway ended the attempt, whatever became of them, by reason: version deadline, version expiry, stall, silent connection, unreachable server, stop deadline.", "more than none but for a stop deadline: servers or their VMs are overloaded, or links lose what they carry"},
	{GatewayLimitSkips, "gateway", "Times that a backend server was passed over for its own limit, by why: spent, or no owner of the limit answered.", "spent: add backend servers, or find out what the limited ones need; no owner: gateways do not reach each other over their links"},
	{GatewayRetriesUncounted, "gateway", "Attempts on silent connections that nothing was acknowledged of; the next one of each is no repeat.", "more than a few: connections go silent without a reset, look at what lies between the VMs"},
	{GatewayConfigNumber, "gateway", "Number of the service configuration in force here.", "differs between gateways for more than 2 s: one is cut off from the control nodes"},
	{StagerChunks, "stager", "Chunks by where they came from: origin, peer or engine, and spoilt ones.", "many from the origin: peers are cut off; spoilt: look at the source"},
	{StagerVersionServed, "stager", "Version that the engine here serves.", "behind the named version: read the stager's log lines"},
	{LinkLivenessChecks, "all", "Looks at links that brought no answer in time, by what was found: speaks, replaced, unreached or unknown.", "replaced: connections go silent without a reset, look at what lies between the VMs; unreached: a VM is down or cut off; many speaks: processes are slow or links full"},
	{LogLinesDropped, "all", "Log lines dropped because their reader was too slow.", "read the logs faster, or raise log.level"},
	{InvariantBroken, "both", "Checks of what must always hold that failed; any value above zero is a defect.", "report it with tidepost timeline -o jsonl"},
}

// Rows returns the table.
func Rows() []Row { return rows }

func help(name string) string {
	for _, r := range rows {
		if r.Name == name {
			return r.Help
		}
	}
	return ""
}

// NewCounter returns the counter of a name in the table.
func NewCounter(name string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help(name)})
}

// NewCounters returns the counters of a name in the table, by one label.
func NewCounters(name, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help(name)}, []string{label})
}

// NewGauge returns the gauge of a name in the table.
func NewGauge(name string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help(name)})
}

// NewHistogram returns the histogram of a name in the table, of seconds.
func NewHistogram(name string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: name, Help: help(name), Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	})
}
