// ================================================================
// The settings of tidepost-gateway.
// ================================================================

package settings

import "time"

// Gateway are the settings of a gateway.
//
//wire:accessors
type Gateway struct {
	// common are the settings that all daemons have.
	common Common
	// protocol names the protocol that callers and backend servers speak.
	protocol string
	// listen is where callers send requests.
	listen string
	// readyListen is where the balancer asks whether to send callers here.
	readyListen string
	// seeds are addresses of control nodes.
	seeds []string
	// drainNotice is how long callers are still taken after readiness turned.
	drainNotice time.Duration
	// drainLimit is how long a planned stop may take in all.
	drainLimit time.Duration
	// retryRatio is how many repeats a hundred requests may cause.
	retryRatio int
	// retryReserve is how many more all gateways together may cause.
	retryReserve float64
	// retryWindow is the time over which repeats are counted.
	retryWindow time.Duration
	// rolloutLimit is the time within which new weights are to be in force.
	rolloutLimit time.Duration
	// memory is what the process may use, in bytes.
	memory int64
	// maxConnections bounds the callers' connections.
	maxConnections int
}

func gatewayCommon(s *Gateway) *Common { return &s.common }

// GatewayKeys is the table of a gateway's settings.
func GatewayKeys() []Key[Gateway] {
	return append(commonKeys(gatewayCommon), []Key[Gateway]{
		{Path: "protocol", Default: "own", ValueKind: kindProtocol, Doc: "protocol that callers and backend servers speak",
			set: text(func(s *Gateway) *string { return &s.protocol })},
		{Path: "callers.listen", Required: true, ValueKind: kindAddress, Doc: "where callers send requests",
			set: address(func(s *Gateway) *string { return &s.listen })},
		{Path: "ready.listen", Required: true, ValueKind: kindAddress, Doc: "where the balancer asks whether to send callers here",
			set: address(func(s *Gateway) *string { return &s.readyListen })},
		{Path: "control.seeds", Required: true, ValueKind: kindAddressList, Doc: "addresses of control nodes; links go to the port of peers.listen there",
			set: addresses(func(s *Gateway) *[]string { return &s.seeds })},
		{Path: "drain.notice", Default: "3s", ValueKind: kindDuration, Doc: "how long callers are still taken after readiness has turned",
			set: duration(0, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.drainNotice })},
		{Path: "drain.limit", Default: "8s", ValueKind: kindDuration, Doc: "how long a planned stop may take in all",
			set: duration(time.Second, time.Hour, func(s *Gateway) *time.Duration { return &s.drainLimit })},
		{Path: "retries.ratio", Default: "20", ValueKind: kindCount, Doc: "repeats that a hundred requests of a service may cause",
			set: count(0, 100, func(s *Gateway) *int { return &s.retryRatio })},
		{Path: "retries.reserve", Default: "20", ValueKind: kindNumber, Doc: "repeats that all gateways together may cause besides, in a window",
			set: number(0, 1<<20, func(s *Gateway) *float64 { return &s.retryReserve })},
		{Path: "retries.window", Default: "10s", ValueKind: kindDuration, Doc: "time over which repeats are counted",
			set: duration(time.Second, 10*time.Minute, func(s *Gateway) *time.Duration { return &s.retryWindow })},
		{Path: "weights.within", Default: "1m", ValueKind: kindDuration, Doc: "time after a version's acknowledgement from which older weights get no requests",
			set: duration(time.Second, MaxRolloutLimit, func(s *Gateway) *time.Duration { return &s.rolloutLimit })},
		{Path: "requests.max_connections", Default: "2048", ValueKind: kindCount, Doc: "most connections of callers",
			set: count(1, 1<<20, func(s *Gateway) *int { return &s.maxConnections })},
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
	return s, checkDistinctListeners(path, s.listen, s.readyListen, s.common.peersListen, s.common.observeListen)
}

// memoryKey is the key of the memory that a process may use.
func memoryKey[T any](field func(*T) *int64) Key[T] {
	return Key[T]{Path: "limits.memory", Default: "128MiB", ValueKind: kindBytes, Doc: "memory that the process may use; the collector keeps below it",
		set: size(16<<20, 1<<40, field)}
}
