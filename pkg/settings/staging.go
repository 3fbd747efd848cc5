// ================================================================
// The settings of tidepost-stager.
// ================================================================

package settings

import "time"

// Stager are the settings of a stager.
//
//wire:accessors
type Stager struct {
	// common are the settings that all daemons have.
	common Common
	// protocol names the protocol that the engine and the origin speak.
	protocol string
	// seeds are addresses of control nodes.
	seeds []string
	// engine is the address of the engine on this VM.
	engine string
	// service is the service that the engine belongs to; may be empty.
	service string
	// rolloutLimit is the time within which new weights are to be in force.
	rolloutLimit time.Duration
	// memory is what the process may use, in bytes.
	memory int64
}

func stagerCommon(s *Stager) *Common { return &s.common }

// StagerKeys is the table of a stager's settings.
func StagerKeys() []Key[Stager] {
	return append(commonKeys(stagerCommon), []Key[Stager]{
		{Path: "protocol", Default: "own", ValueKind: kindProtocol, Doc: "protocol that the engine and the origin speak",
			set: text(func(s *Stager) *string { return &s.protocol })},
		{Path: "control.seeds", Required: true, ValueKind: kindAddressList, Doc: "addresses of control nodes; links go to the port of peers.listen there",
			set: addresses(func(s *Stager) *[]string { return &s.seeds })},
		{Path: "engine.address", Required: true, ValueKind: kindAddress, Doc: "the model engine on this VM",
			set: address(func(s *Stager) *string { return &s.engine })},
		{Path: "engine.service", ValueKind: kindText, Doc: "the service that the engine belongs to",
			set: text(func(s *Stager) *string { return &s.service })},
		{Path: "weights.within", Default: "1m", ValueKind: kindDuration, Doc: "time after a version's acknowledgement within which it is to be in force",
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
