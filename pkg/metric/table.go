// ================================================================
// The table of all metrics, with what each measures and what an operator does about it. The
// daemons create their metrics from it, and docs/METRICS.md is printed from it.
// ================================================================

// Package metric holds the table of the metrics that the daemons export.
package metric

import "github.com/prometheus/client_golang/prometheus"

// The names of the metrics.
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
	GatewayPromptTokens       = "tidepost_gateway_prompt_tokens"
	GatewayInFlight           = "tidepost_gateway_requests_in_flight"
	GatewayServerCrashes      = "tidepost_gateway_ended_backend_servers_total"
	GatewayProbes             = "tidepost_gateway_probes_total"
	GatewayQuarantined        = "tidepost_gateway_quarantined_requests"
	GatewayQuarantinedParts   = "tidepost_gateway_quarantined_parts"
	GatewayLimitedServers     = "tidepost_gateway_limited_backend_servers"
	GatewayLimitSkips         = "tidepost_gateway_held_back_total"
	GatewayRetriesBorrowed    = "tidepost_gateway_repeats_borrowed_total"
	GatewayRetriesUncounted   = "tidepost_gateway_repeats_uncounted_total"
	GatewayEvacuatedDomains   = "tidepost_gateway_evacuated_domains"
	GatewayStreamsInterrupted = "tidepost_gateway_streams_interrupted_total"
	GatewayConfigNumber       = "tidepost_gateway_configuration_number"
	StagerChunks              = "tidepost_stager_chunks_total"
	StagerVersionServed       = "tidepost_stager_version"
	StagerVerificationAge     = "tidepost_stager_verification_age_seconds"
	LinkProbes                = "tidepost_link_doubts_total"
	LogLinesDropped           = "tidepost_log_lines_dropped_total"
)

// Row describes one metric.
type Row struct {
	Name string
	// Process is the kind of process that exports the metric; "all" stands for every daemon, "both"
	// for entries and agents.
	Process string
	// Help is the metric's help text for Prometheus.
	Help string
	// Remedy is what the operator does if the value is abnormal.
	Remedy string
}

var rows = []Row{
	{EntryRequests, "entry", "Callers' requests by result: answered, or the kind of failure.", "look up the kind in ERRORS.md"},
	{EntryRetries, "entry", "Attempts after the first.", "if it grows fast, an agent refuses or fails requests; see tidepost_agent_requests_total by VM"},
	{EntryForwarded, "entry", "Requests forwarded by entries of other failure domains.", "if it keeps growing, the other failure domain lacks ready replicas"},
	{EntryUnsettledClaims, "entry", "Claims whose outcome could not be stored in time.", "their idempotency keys are answered with outcome_unknown; check whether the quorum is lost"},
	{EntryAgents, "entry", "Agents of the failure domain whose heartbeats arrive.", "if it falls, VMs were withdrawn, or a link is cut"},
	{ConfigRevision, "entry", "Configuration revision in force on this entry.", "if entries differ for more than 6 s, tidepost status shows which processes lag"},
	{ControlLogTerm, "entry", "Current term of the control log; only on voters.", "if it grows often, leaders fail; check the disks and links of the voters"},
	{ControlLogLeads, "entry", "1 on the voter that leads the control log, else 0.", "if the sum over all voters stays 0, there is no quorum"},
	{ControlLogStopped, "entry", "1 if the voter on this VM has stopped, for instance after a disk error.", "read its log line, repair the disk and restart; or replace the voter"},
	{AgentRequests, "agent", "Requests by result: answered, or the kind of failure.", "look up the kind in ERRORS.md"},
	{AgentChunksServed, "agent", "Chunks sent to other agents.", "if it stays 0 on a VM that has a copy during a burst, its link is stalled"},
	{AgentCorruptChunks, "agent", "Received chunks refused because their digest was wrong.", "the timeline names the senders (chunk_refused); if the sender is the origin, apply the model again"},
	{AgentSourceRefusals, "agent", "Downloads that the origin or the weight store refused.", "the source is over its rate limit; the copy continues from other VMs"},
	{ControlHeartbeats, "control", "Heartbeats of backend servers accepted by this control node.", "if it stops growing while backend servers run, they connect to other nodes; this one may be partitioned"},
	{ControlConfigNumber, "control", "Number of the newest service configuration applied on this control node.", "if it is behind the other nodes, this one is partitioned or its disk fails"},
	{GatewayRequests, "gateway", "Callers' requests by outcome.", "look up a request's id in the logs; see OPERATIONS.md"},
	{GatewayAttempts, "gateway", "Attempts at backend servers by result.", "if many are unreachable or silent, check the backend server that the log lines name"},
	{GatewayReservations, "gateway", "Reservation requests to stagers by answer: granted, refused or unanswered.", "if many are unanswered, stagers are down or their links full; if many are refused, the engines are at capacity"},
	{GatewaySilentConnections, "gateway", "Connections to backend servers given up as silent, by evidence: suspected (idle ones), newer or many.", "if it grows fast, a device on the path drops connection state; the log lines name the addresses"},
	{GatewayFirstEvent, "gateway", "Time to the response or to the first event of a stream, in seconds.", "if it is over the objective, there are too few backend servers, or they are slow"},
	{GatewayPromptTokens, "gateway", "Prompt lengths of requests to engines, in tokens, by outcome.", "if long prompts are a greater share of those refused than of those served, admission treats sizes unequally; see `tidepost explain --sizes`"},
	{GatewayInFlight, "gateway", "Requests in flight.", "if it keeps growing, backend servers hang"},
	{GatewayServerCrashes, "gateway", "Attempts during which the backend server crashed: its port was closed right afterwards.", "if it grows by more than the requests of one server at a time, one request may crash servers; the log lines of the attempts have its fingerprint"},
	{GatewayProbes, "gateway", "Probes of backend servers after their connections ended, by result.", "if 'unanswered' grows, responses without a length are not delivered although they may be complete; check the path to the backend servers and their connection limits"},
	{GatewayQuarantined, "gateway", "Requests quarantined because backend servers crashed while they ran them.", "if above zero, find the fingerprint in the log lines 'request ends backend servers', and why the servers crash"},
	{GatewayQuarantinedParts, "gateway", "Parts of prompts quarantined because backend servers crashed while they ran requests with them.", "if above zero, find the part in the log lines 'request ends backend servers', and why the servers crash"},
	{GatewayLimitedServers, "gateway", "Backend servers that advertise a limit on the requests they accept, as known to this gateway.", "if above zero, a backend server is overloaded; the log lines 'backend server names a limit' show which one and its limit"},
	{GatewayRetriesBorrowed, "gateway", "Retries of running streams taken from the retry budget of another gateway.", "if it grows fast, the retry budget is used unevenly; find the backend servers that break streams off"},
	{GatewayStreamsInterrupted, "gateway", "Running streams of which the caller had received a part when the gateway ended the attempt, even if they continued elsewhere, by reason, version deadline, version expiry, version expires soon, stall, silent connection, unreachable server, stop deadline.", "if it grows for a reason other than stop deadline, servers or their VMs are overloaded, or links lose packets"},
	{GatewayLimitSkips, "gateway", "Times that the gateway skipped a backend server because of the server's own limit, by why: spent, or no owner of the limit answered.", "spent: add backend servers, or find out why the limited ones are overloaded; no owner: gateways cannot reach each other over their links"},
	{GatewayRetriesUncounted, "gateway", "Attempts on silent connections on which no data was acknowledged; the attempt after such a one does not count as a retry.", "if more than a few, connections go silent without a reset; check the network between the VMs"},
	{GatewayEvacuatedDomains, "gateway", "Failure domains that are evacuated: their backend servers receive no new requests from this gateway.", "if gateways differ for more than 2 s, one is partitioned from the control nodes"},
	{GatewayConfigNumber, "gateway", "Number of the service configuration in force on this gateway.", "if gateways differ for more than 2 s, one is partitioned from the control nodes"},
	{StagerChunks, "stager", "Chunks by source: origin, peer or engine, and corrupt ones as spoilt.", "if many come from the origin, peers are unreachable; if many are spoilt, check the source"},
	{StagerVersionServed, "stager", "Version that the engine of this VM serves.", "if it is behind the target version, read the stager's log lines"},
	{StagerVerificationAge, "stager", "Greatest age of the verification of a staged chunk when the engine took an order to load it, in seconds.", "if it comes near 3 s, the VM or its engine is overloaded, and layers are loaded several times"},
	{LinkProbes, "all", "Liveness checks of links on which an answer was late, by result: speaks, replaced, unreached or unknown.", "replaced: connections go silent without a reset, check the network between the VMs; unreached: a VM is down or partitioned; many speaks: processes are slow or links full"},
	{LogLinesDropped, "all", "Log lines dropped because their reader was too slow.", "read the logs faster, or raise log.level"},
	{InvariantBroken, "both", "Failed invariant checks; any value above zero is a bug.", "report it with the output of tidepost timeline -o jsonl"},
}

// Rows returns the table. The caller must not change it.
func Rows() []Row { return rows }

func help(name string) string {
	for _, r := range rows {
		if r.Name == name {
			return r.Help
		}
	}
	return ""
}

// NewCounter returns the counter with a name of the table.
func NewCounter(name string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help(name)})
}

// NewCounters returns the counter with a name of the table, partitioned by one label.
func NewCounters(name, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help(name)}, []string{label})
}

// NewGauge returns the gauge with a name of the table.
func NewGauge(name string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help(name)})
}

// NewHistogram returns the histogram with a name of the table, in seconds. Its buckets double from
// 5 ms to 10.24 s.
func NewHistogram(name string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: name, Help: help(name), Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	})
}

// NewTokenHistograms returns the histogram with a name of the table, in tokens, partitioned by one label. Its
// buckets double from 64 to 65,536 tokens.
func NewTokenHistograms(name, label string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help(name), Buckets: prometheus.ExponentialBuckets(64, 2, 11),
	}, []string{label})
}
