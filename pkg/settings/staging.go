// ================================================================
// The settings of tidepost-stager.
// ================================================================

package settings

import "time"

// Staging are the settings of a stager.
//
//wire:accessors
type Staging struct {
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
	// within is the time within which new weights are to be in force.
	within time.Duration
	// memory is what the process may use, in bytes.
	memory int64
}

func stagingCommon(s *Staging) *Common { return &s.common }

// StagingKeys is the table of a stager's settings.
func StagingKeys() []Key[Staging] {
	return append(commonKeys(stagingCommon), []Key[Staging]{
		{Path: "protocol", Default: "own", Unit: unitProtocol, Doc: "protocol that the engine and the origin speak",
			set: text(func(s *Staging) *string { return &s.protocol })},
		{Path: "control.seeds", Required: true, Unit: unitList, Doc: "addresses of control nodes; links go to the port of peers.listen there",
			set: addresses(func(s *Staging) *[]string { return &s.seeds })},
		{Path: "engine.address", Required: true, Unit: unitAddress, Doc: "the model engine on this VM",
			set: address(func(s *Staging) *string { return &s.engine })},
		{Path: "engine.service", Unit: unitText, Doc: "the service that the engine belongs to",
			set: text(func(s *Staging) *string { return &s.service })},
		{Path: "weights.within", Default: "1m", Unit: unitDuration, Doc: "time after a version's acknowledgement within which it is to be in force",
			set: duration(time.Second, LongestWithin, func(s *Staging) *time.Duration { return &s.within })},
		memoryKey(func(s *Staging) *int64 { return &s.memory }),
	}...)
}

// LoadStaging reads and checks a stager's settings file.
func LoadStaging(path string) (Staging, error) {
	var s Staging
	if err := load(path, StagingKeys(), &s); err != nil {
		return s, err
	}
	if err := s.common.check(path); err != nil {
		return s, err
	}
	return s, distinct(path, s.common.peersListen, s.common.observeListen)
}
