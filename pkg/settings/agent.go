// ================================================================
// The settings of tidepost-agent.
// ================================================================

package settings

import "time"

// Agent holds the settings of an agent process.
//
//wire:accessors
type Agent struct {
	// common holds the settings that all daemons share.
	common Common
	// entries are the link addresses of the failure domain's entries.
	entries []string
	// labels are the labels of the VM.
	labels map[string]string
	// engineURL is the URL of the model engine; it may be empty.
	engineURL string
	// engineChecksFences is set if the engine rejects orders with an older fencing token.
	engineChecksFences bool
	// orderLimit is the maximum time for an order to the engine.
	orderLimit time.Duration
	// services maps the names of the plain services on this VM to their URLs.
	services map[string]string
	// heartbeat is the time between heartbeats to each entry.
	heartbeat time.Duration
	// chunkRate is the limit of the chunk traffic in bytes per second, in each direction.
	chunkRate int64
	// maxUploads is the maximum number of chunks sent at the same time.
	maxUploads int
	// maxInFlight is the maximum number of requests in flight.
	maxInFlight int
	// drainLimit is the maximum time for requests in flight to complete during a drain.
	drainLimit time.Duration
}

func agentCommon(a *Agent) *Common { return &a.common }

// AgentKeys returns the keys of an agent's settings file.
func AgentKeys() []Key[Agent] {
	return append(commonKeys(agentCommon), []Key[Agent]{
		{Path: "data.folder", Required: true, ValueKind: kindFolder, Doc: "folder for copies of model weights",
			set: text(func(a *Agent) *string { return &a.common.dataFolder })},
		{Path: "peers.entries", Required: true, ValueKind: kindAddressList, Doc: "link addresses of the failure domain's entries",
			set: addresses(func(a *Agent) *[]string { return &a.entries })},
		{Path: "vm.labels", ValueKind: kindLabels, Doc: "labels of this VM",
			set: pairs(func(a *Agent) *map[string]string { return &a.labels })},
		{Path: "engine.url", ValueKind: kindURL, Doc: "URL of the model engine",
			set: text(func(a *Agent) *string { return &a.engineURL })},
		{Path: "engine.checks_fences", Default: "false", ValueKind: kindFlag, Doc: "true if the engine rejects orders with an older fencing token",
			set: flag(func(a *Agent) *bool { return &a.engineChecksFences })},
		{Path: "engine.order_limit", Default: "30s", ValueKind: kindDuration, Doc: "maximum time for an order to the engine",
			set: duration(100*time.Millisecond, time.Hour, func(a *Agent) *time.Duration { return &a.orderLimit })},
		{Path: "services", ValueKind: kindServices, Doc: "plain services on this VM",
			set: pairs(func(a *Agent) *map[string]string { return &a.services })},
		{Path: "heartbeat.interval", Default: "1s", ValueKind: kindDuration, Doc: "time between heartbeats to each entry",
			set: duration(50*time.Millisecond, 10*time.Second, func(a *Agent) *time.Duration { return &a.heartbeat })},
		{Path: "link.chunk_rate", Default: "1GiB", ValueKind: kindBytes + ", per second", Doc: "limit of the chunk traffic in each direction",
			set: size(1<<10, 1<<40, func(a *Agent) *int64 { return &a.chunkRate })},
		{Path: "link.uploads", Default: "12", ValueKind: kindCount, Doc: "maximum number of chunks sent to other agents at the same time",
			set: count(1, 1024, func(a *Agent) *int { return &a.maxUploads })},
		{Path: "requests.max_in_flight", Default: "64", ValueKind: kindCount, Doc: "maximum number of requests in flight on this VM",
			set: count(1, 1<<16, func(a *Agent) *int { return &a.maxInFlight })},
		{Path: "drain.limit", Default: "2m", ValueKind: kindDuration, Doc: "maximum time for requests in flight to complete during a drain",
			set: duration(0, time.Hour, func(a *Agent) *time.Duration { return &a.drainLimit })},
	}...)
}

// LoadAgent reads and checks an agent's settings file.
func LoadAgent(path string) (Agent, error) {
	var a Agent
	if err := load(path, AgentKeys(), &a); err != nil {
		return a, err
	}
	return a, a.check(path)
}
