// ================================================================
// The settings of tidepost-entry.
// ================================================================

package settings

import "time"

// Entry holds the settings of an entry process.
//
//wire:accessors
type Entry struct {
	// common holds the settings that all daemons share.
	common Common
	// callersListen is the address for callers' requests.
	callersListen string
	// entries are the link addresses of the other entries.
	entries []string
	// voter is set if this entry stores the control log and votes in it.
	voter bool
	// maxBody is the maximum size of a request body in bytes.
	maxBody int64
	// maxHeader is the maximum total size of a request's headers in bytes.
	maxHeader int64
	// maxConnections is the maximum number of callers' connections.
	maxConnections int
	// maxInFlight is the maximum number of requests in flight.
	maxInFlight int
	// defaultDeadline is the deadline of requests that set none.
	defaultDeadline time.Duration
	// maxDeadline is the longest deadline that a request may set.
	maxDeadline time.Duration
	// retryBudget is the number of retries allowed per 100 requests.
	retryBudget int
	// drainNotice is how long new requests are accepted after /readyz reports not ready.
	drainNotice time.Duration
	// drainLimit is the maximum time for requests in flight to complete during a drain.
	drainLimit time.Duration
	// agentTimeout is the maximum age of an agent's last heartbeat.
	agentTimeout time.Duration
	// platformURL is the URL of the platform's list of VMs; it may be empty.
	platformURL string
	// maxOriginFetches is the maximum number of chunks of one version that all failure domains
	// together fetch from the origin at the same time.
	maxOriginFetches int
}

func entryCommon(e *Entry) *Common { return &e.common }

// EntryKeys returns the keys of an entry's settings file.
func EntryKeys() []Key[Entry] {
	return append(commonKeys(entryCommon), []Key[Entry]{
		{Path: "data.folder", ValueKind: kindFolder, Doc: "folder of the control log; required on a voter",
			set: text(func(e *Entry) *string { return &e.common.dataFolder })},
		{Path: "callers.listen", Required: true, ValueKind: kindAddress, Doc: "address for callers' requests, /healthz and /readyz",
			set: address(func(e *Entry) *string { return &e.callersListen })},
		{Path: "peers.entries", ValueKind: kindAddressList, Doc: "link addresses of the other entries",
			set: addresses(func(e *Entry) *[]string { return &e.entries })},
		{Path: "control_log.voter", Default: "false", ValueKind: kindFlag, Doc: "store the control log on this VM's disk and vote in it",
			set: flag(func(e *Entry) *bool { return &e.voter })},
		{Path: "requests.max_body", Default: "1MiB", ValueKind: kindBytes, Doc: "maximum size of a request body",
			set: size(1<<10, 8<<20, func(e *Entry) *int64 { return &e.maxBody })},
		{Path: "requests.max_header", Default: "16KiB", ValueKind: kindBytes, Doc: "maximum total size of a request's headers",
			set: size(1<<10, 1<<20, func(e *Entry) *int64 { return &e.maxHeader })},
		{Path: "requests.max_connections", Default: "4096", ValueKind: kindCount, Doc: "maximum number of callers' connections",
			set: count(1, 1<<20, func(e *Entry) *int { return &e.maxConnections })},
		{Path: "requests.max_in_flight", Default: "512", ValueKind: kindCount, Doc: "maximum number of requests in flight at this entry",
			set: count(1, 1<<16, func(e *Entry) *int { return &e.maxInFlight })},
		{Path: "requests.default_deadline", Default: "60s", ValueKind: kindDuration, Doc: "deadline of a request that sets none",
			set: duration(10*time.Millisecond, 30*time.Minute, func(e *Entry) *time.Duration { return &e.defaultDeadline })},
		{Path: "requests.max_deadline", Default: "10m", ValueKind: kindDuration, Doc: "longest deadline that a request may set",
			set: duration(10*time.Millisecond, 30*time.Minute, func(e *Entry) *time.Duration { return &e.maxDeadline })},
		{Path: "requests.retry_budget", Default: "10", ValueKind: kindCount, Doc: "number of retries allowed per 100 requests",
			set: count(0, 100, func(e *Entry) *int { return &e.retryBudget })},
		{Path: "drain.notice", Default: "5s", ValueKind: kindDuration, Doc: "how long new requests are accepted after /readyz reports not ready",
			set: duration(0, 10*time.Minute, func(e *Entry) *time.Duration { return &e.drainNotice })},
		{Path: "drain.limit", Default: "2m", ValueKind: kindDuration, Doc: "maximum time for requests in flight to complete during a drain",
			set: duration(0, time.Hour, func(e *Entry) *time.Duration { return &e.drainLimit })},
		{Path: "agents.timeout", Default: "6s", ValueKind: kindDuration, Doc: "age of the last heartbeat after which an agent gets no new work",
			set: duration(500*time.Millisecond, time.Minute, func(e *Entry) *time.Duration { return &e.agentTimeout })},
		{Path: "platform.url", ValueKind: kindURL, Doc: "URL of the platform's list of running and leaving VMs",
			set: text(func(e *Entry) *string { return &e.platformURL })},
		{Path: "spread.origin_draws", Default: "32", ValueKind: kindCount, Doc: "maximum number of chunks of one version that all failure domains together fetch from the origin at the same time",
			set: count(1, 1024, func(e *Entry) *int { return &e.maxOriginFetches })},
	}...)
}

// LoadEntry reads and checks an entry's settings file.
func LoadEntry(path string) (Entry, error) {
	var e Entry
	if err := load(path, EntryKeys(), &e); err != nil {
		return e, err
	}
	return e, e.check(path)
}
