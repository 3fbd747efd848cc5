// ================================================================
// The settings of tidepost-agent.
// ================================================================

package settings

import "time"

// Agent are the settings of an agent process.
//
//wire:accessors
type Agent struct {
	// common are the settings that both daemons have.
	common Common
	// entries are the link addresses of the failure domain's entries.
	entries []string
	// labels are the VM's own labels.
	labels map[string]string
	// engineURL is where the model engine listens; may be empty.
	engineURL string
	// engineChecksFences says that the engine checks who gives it an order.
	engineChecksFences bool
	// orderLimit is the longest that an engine may take for an order.
	orderLimit time.Duration
	// services are the plain services, name to URL.
	services map[string]string
	// heartbeat is the time between heartbeats.
	heartbeat time.Duration
	// chunkRate bounds the chunk traffic in bytes a second, each way.
	chunkRate int64
	// maxUploads bounds the chunks sent at one time.
	maxUploads int
	// maxInFlight bounds the requests in flight.
	maxInFlight int
	// drainLimit is how long requests in flight may take to end.
	drainLimit time.Duration
}

func agentCommon(a *Agent) *Common { return &a.common }

// AgentKeys is the table of an agent's settings.
func AgentKeys() []Key[Agent] {
	return append(commonKeys(agentCommon), []Key[Agent]{
		{Path: "data.folder", Required: true, ValueKind: kindFolder, Doc: "folder of the copies of weights",
			set: text(func(a *Agent) *string { return &a.common.dataFolder })},
		{Path: "peers.entries", Required: true, ValueKind: kindAddressList, Doc: "link addresses of the failure domain's entries",
			set: addresses(func(a *Agent) *[]string { return &a.entries })},
		{Path: "vm.labels", ValueKind: kindLabels, Doc: "the VM's own labels",
			set: pairs(func(a *Agent) *map[string]string { return &a.labels })},
		{Path: "engine.url", ValueKind: kindURL, Doc: "where the model engine listens",
			set: text(func(a *Agent) *string { return &a.engineURL })},
		{Path: "engine.checks_fences", Default: "false", ValueKind: kindFlag, Doc: "the engine refuses orders with an earlier fence",
			set: flag(func(a *Agent) *bool { return &a.engineChecksFences })},
		{Path: "engine.order_limit", Default: "30s", ValueKind: kindDuration, Doc: "longest that an order to the engine may take",
			set: duration(100*time.Millisecond, time.Hour, func(a *Agent) *time.Duration { return &a.orderLimit })},
		{Path: "services", ValueKind: kindServices, Doc: "plain services on this VM",
			set: pairs(func(a *Agent) *map[string]string { return &a.services })},
		{Path: "heartbeat.interval", Default: "1s", ValueKind: kindDuration, Doc: "time between heartbeats to each entry",
			set: duration(50*time.Millisecond, 10*time.Second, func(a *Agent) *time.Duration { return &a.heartbeat })},
		{Path: "link.chunk_rate", Default: "1GiB", ValueKind: kindBytes + ", a second", Doc: "bound of the chunk traffic, each way",
			set: size(1<<10, 1<<40, func(a *Agent) *int64 { return &a.chunkRate })},
		{Path: "link.uploads", Default: "12", ValueKind: kindCount, Doc: "chunks sent to other agents at one time",
			set: count(1, 1024, func(a *Agent) *int { return &a.maxUploads })},
		{Path: "requests.max_in_flight", Default: "64", ValueKind: kindCount, Doc: "requests in flight on this VM",
			set: count(1, 1<<16, func(a *Agent) *int { return &a.maxInFlight })},
		{Path: "drain.limit", Default: "2m", ValueKind: kindDuration, Doc: "how long requests in flight may take to end",
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
