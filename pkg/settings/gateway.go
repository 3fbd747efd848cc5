// ================================================================
// The settings of tidepost-gateway.
// ================================================================

package settings

import "time"

// Gateway holds the settings of a gateway.
//
//wire:accessors
type Gateway struct {
	// common holds the settings that all daemons share.
	common Common
	// protocol is the name of the protocol that callers and backend servers use.
	protocol string
	// listen is the address for callers' requests.
	listen string
	// readyListen is the address of the readiness check for the load balancer.
	readyListen string
	// seeds are addresses of control nodes to contact first.
	seeds []string
	// drainNotice is how long new requests are accepted after the readiness check fails.
	drainNotice time.Duration
	// drainLimit is the maximum total time of a planned stop.
	drainLimit time.Duration
	// retryRatio is the number of retries allowed per 100 requests of a service.
	retryRatio int
	// retryReserve is the number of further retries that all gateways together may make per window.
	retryReserve float64
	// retryWindow is the time window over which retries are counted.
	retryWindow time.Duration
	// rolloutLimit is the time after a version's acknowledgement at which older versions stop
	// receiving requests.
	rolloutLimit time.Duration
	// memory is the memory limit of the process in bytes.
	memory int64
	// maxConnections is the maximum number of callers' connections.
	maxConnections int
	// regions holds the region of each failure domain.
	regions map[string]string
}

func gatewayCommon(s *Gateway) *Common { return &s.common }

// GatewayKeys returns the keys of a gateway's settings file.
func GatewayKeys() []Key[Gateway] {
	return append(commonKeys(gatewayCommon), []Key[Gateway]{
		{Path: "protocol", Default: "own", ValueKind: kindProtocol, Doc: "protocol that callers and backend servers use",
			set: text(func(s *Gateway) *string { return &s.protocol })},
		{Path: "callers.listen", Required: true, ValueKind: kindAddress, Doc: "address for callers' requests",
			set: address(func(s *Gateway) *string { return &s.listen })},
		{Path: "ready.listen", Required: true, ValueKind: kindAddress, Doc: "address of the readiness check for the load balancer",
			set: address(func(s *Gateway) *string { return &s.readyListen })},
		{Path: "control.seeds", Required: true, ValueKind: kindAddressList, Doc: "addresses of control nodes; links use the port of this process's peers.advertise there",
			set: addresses(func(s *Gateway) *[]string { return &s.seeds })},
		{Path: "drain.notice", Default: "3s", ValueKind: kindDuration, Doc: "how long new requests are accepted after the readiness check fails",
			set: duration(0, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.drainNotice })},
		{Path: "drain.limit", Default: "8s", ValueKind: kindDuration, Doc: "maximum total time of a planned stop",
			set: duration(time.Second, time.Hour, func(s *Gateway) *time.Duration { return &s.drainLimit })},
		{Path: "retries.ratio", Default: "20", ValueKind: kindCount, Doc: "number of retries allowed per 100 requests of a service",
			set: count(0, 100, func(s *Gateway) *int { return &s.retryRatio })},
		{Path: "retries.reserve", Default: "20", ValueKind: kindNumber, Doc: "number of further retries that all gateways together may make per window",
			set: number(0, 1<<20, func(s *Gateway) *float64 { return &s.retryReserve })},
		{Path: "retries.window", Default: "10s", ValueKind: kindDuration, Doc: "time window over which retries are counted",
			set: duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.retryWindow })},
		{Path: "weights.within", Default: "1m", ValueKind: kindDuration, Doc: "time after a version's acknowledgement at which older versions stop receiving requests",
			set: duration(time.Second, MaxRolloutLimit, func(s *Gateway) *time.Duration { return &s.rolloutLimit })},
		{Path: "requests.max_connections", Default: "2048", ValueKind: kindCount, Doc: "maximum number of callers' connections",
			set: count(1, 1<<20, func(s *Gateway) *int { return &s.maxConnections })},
		regionsKey(func(s *Gateway) *map[string]string { return &s.regions }),
		memoryKey(func(s *Gateway) *int64 { return &s.memory }),
	}...)
}

// LoadGateway reads and checks a gateway's settings file.
func LoadGateway(path string) (Gateway, error) {
	var s Gateway
	if err := load(path, GatewayKeys(), &s); err != nil {
		return s, err
	}
	if err := s.common.check(path); err != nil {
		return s, err
	}
	s.regions = s.common.withOwnRegion(s.regions)
	return s, checkDistinctListeners(path, s.listen, s.readyListen, s.common.peersListen, s.common.observeListen)
}

// regionsKey returns the key of the regions of the failure domains.
func regionsKey[T any](field func(*T) *map[string]string) Key[T] {
	return Key[T]{Path: "failure_domains", ValueKind: kindRegions, Doc: "region of each failure domain; requests that are restricted to regions are sent to no other domain",
		set: pairs(field)}
}

// memoryKey returns the key of a process's memory limit.
func memoryKey[T any](field func(*T) *int64) Key[T] {
	return Key[T]{Path: "limits.memory", Default: "128MiB", ValueKind: kindBytes, Doc: "memory limit of the process; the garbage collector keeps memory use below it",
		set: size(16<<20, 1<<40, field)}
}
