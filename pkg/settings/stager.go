// ================================================================
// The settings of tidepost-stager.
// ================================================================

package settings

import "time"

// Stager holds the settings of a stager.
//
//wire:accessors
type Stager struct {
	// common holds the settings that all daemons share.
	common Common
	// protocol is the name of the protocol that the engine and the origin use.
	protocol string
	// seeds are addresses of control nodes to contact first.
	seeds []string
	// engine is the address of the engine on this VM.
	engine string
	// service is the name of the service that the engine belongs to; it may be empty.
	service string
	// rolloutLimit is the time after a version's acknowledgement within which it must be in force.
	rolloutLimit time.Duration
	// memory is the memory limit of the process in bytes.
	memory int64
}

func stagerCommon(s *Stager) *Common { return &s.common }

// StagerKeys returns the keys of a stager's settings file.
func StagerKeys() []Key[Stager] {
	return append(commonKeys(stagerCommon), []Key[Stager]{
		{Path: "protocol", Default: "own", ValueKind: kindProtocol, Doc: "protocol that the engine and the origin use",
			set: text(func(s *Stager) *string { return &s.protocol })},
		{Path: "control.seeds", Required: true, ValueKind: kindAddressList, Doc: "addresses of control nodes; links use the port of this process's peers.advertise there",
			set: addresses(func(s *Stager) *[]string { return &s.seeds })},
		{Path: "engine.address", Required: true, ValueKind: kindAddress, Doc: "address of the model engine on this VM",
			set: address(func(s *Stager) *string { return &s.engine })},
		{Path: "engine.service", ValueKind: kindText, Doc: "name of the service that the engine belongs to",
			set: text(func(s *Stager) *string { return &s.service })},
		{Path: "weights.within", Default: "1m", ValueKind: kindDuration, Doc: "time after a version's acknowledgement within which it must be in force",
			set: duration(time.Second, MaxRolloutLimit, func(s *Stager) *time.Duration { return &s.rolloutLimit })},
		memoryKey(func(s *Stager) *int64 { return &s.memory }),
	}...)
}

// LoadStager reads and checks a stager's settings file.
func LoadStager(path string) (Stager, error) {
	var s Stager
	if err := load(path, StagerKeys(), &s); err != nil {
		return s, err
	}
	if err := s.common.check(path); err != nil {
		return s, err
	}
	return s, checkDistinctListeners(path, s.common.peersListen, s.common.observeListen)
}
