// ================================================================
// The settings of tidepost-entry.
// ================================================================

package settings

import "time"

// Entry are the settings of an entry process.
//
//wire:accessors
type Entry struct {
	// common are the settings that both daemons have.
	common Common
	// callersListen is where callers send requests.
	callersListen string
	// entries are the link addresses of the other entries.
	entries []string
	// voter says that this entry keeps the control log.
	voter bool
	// maxBody bounds a request body, in bytes.
	maxBody int64
	// maxHeader bounds a request's headers, in bytes.
	maxHeader int64
	// maxConnections bounds the callers' connections.
	maxConnections int
	// maxInFlight bounds the requests in flight.
	maxInFlight int
	// defaultDeadline is for requests that name none.
	defaultDeadline time.Duration
	// maxDeadline bounds what a request may name.
	maxDeadline time.Duration
	// retryBudget is how many retries a hundred requests may cause.
	retryBudget int
	// drainNotice is how long callers are still taken after readyz turned.
	drainNotice time.Duration
	// drainLimit is how long requests in flight may take to end.
	drainLimit time.Duration
	// agentTimeout is how old a heartbeat may be.
	agentTimeout time.Duration
	// platformURL is where the platform's list of VMs is read; may be empty.
	platformURL string
	// maxOriginFetches bounds the draws of one copy from the origin at one time,
	// over all failure domains.
	maxOriginFetches int
}

func entryCommon(e *Entry) *Common { return &e.common }

// EntryKeys is the table of an entry's settings.
func EntryKeys() []Key[Entry] {
	return append(commonKeys(entryCommon), []Key[Entry]{
		{Path: "data.folder", ValueKind: kindFolder, Doc: "folder of the control log; needed on a voter",
			set: text(func(e *Entry) *string { return &e.common.dataFolder })},
		{Path: "callers.listen", Required: true, ValueKind: kindAddress, Doc: "where callers send requests, and where /healthz and /readyz are",
			set: address(func(e *Entry) *string { return &e.callersListen })},
		{Path: "peers.entries", ValueKind: kindAddressList, Doc: "link addresses of the other entries",
			set: addresses(func(e *Entry) *[]string { return &e.entries })},
		{Path: "control_log.voter", Default: "false", ValueKind: kindFlag, Doc: "keep the control log on this VM's disk",
			set: flag(func(e *Entry) *bool { return &e.voter })},
		{Path: "requests.max_body", Default: "1MiB", ValueKind: kindBytes, Doc: "largest request body",
			set: size(1<<10, 8<<20, func(e *Entry) *int64 { return &e.maxBody })},
		{Path: "requests.max_header", Default: "16KiB", ValueKind: kindBytes, Doc: "largest sum of a request's headers",
			set: size(1<<10, 1<<20, func(e *Entry) *int64 { return &e.maxHeader })},
		{Path: "requests.max_connections", Default: "4096", ValueKind: kindCount, Doc: "most connections of callers",
			set: count(1, 1<<20, func(e *Entry) *int { return &e.maxConnections })},
		{Path: "requests.max_in_flight", Default: "512", ValueKind: kindCount, Doc: "most requests in flight at this entry",
			set: count(1, 1<<16, func(e *Entry) *int { return &e.maxInFlight })},
		{Path: "requests.default_deadline", Default: "60s", ValueKind: kindDuration, Doc: "deadline of a request that names none",
			set: duration(10*time.Millisecond, 30*time.Minute, func(e *Entry) *time.Duration { return &e.defaultDeadline })},
		{Path: "requests.max_deadline", Default: "10m", ValueKind: kindDuration, Doc: "latest deadline that a request may name",
			set: duration(10*time.Millisecond, 30*time.Minute, func(e *Entry) *time.Duration { return &e.maxDeadline })},
		{Path: "requests.retry_budget", Default: "10", ValueKind: kindCount, Doc: "retries that a hundred requests may cause",
			set: count(0, 100, func(e *Entry) *int { return &e.retryBudget })},
		{Path: "drain.notice", Default: "5s", ValueKind: kindDuration, Doc: "how long callers are still taken after /readyz has turned",
			set: duration(0, 10*time.Minute, func(e *Entry) *time.Duration { return &e.drainNotice })},
		{Path: "drain.limit", Default: "2m", ValueKind: kindDuration, Doc: "how long requests in flight may take to end",
			set: duration(0, time.Hour, func(e *Entry) *time.Duration { return &e.drainLimit })},
		{Path: "agents.timeout", Default: "6s", ValueKind: kindDuration, Doc: "age of a heartbeat after which an agent gets no new work",
			set: duration(500*time.Millisecond, time.Minute, func(e *Entry) *time.Duration { return &e.agentTimeout })},
		{Path: "platform.url", ValueKind: kindURL, Doc: "the platform's list of live and leaving VMs",
			set: text(func(e *Entry) *string { return &e.platformURL })},
		{Path: "spread.origin_draws", Default: "32", ValueKind: kindCount, Doc: "chunks that all failure domains together draw from the origin at one time",
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
