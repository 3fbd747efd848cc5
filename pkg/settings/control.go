// ================================================================
// The settings of tidepost-control.
// ================================================================

package settings

import "time"

// Control are the settings of a control node.
//
//wire:accessors
type Control struct {
	// common are the settings that all daemons have.
	common Common
	// protocol names the protocol that operators and backend servers speak.
	protocol string
	// listen is where operators and backend servers call.
	listen string
	// seeds are addresses of control nodes.
	seeds []string
	// bootstrap allows forming a new cluster on an empty folder.
	bootstrap bool
	// toleratedFailures is how many control nodes may be lost at one time.
	toleratedFailures int
	// heartbeat is the time between two heartbeats of a backend server.
	heartbeat time.Duration
	// cache has the node keep the newest weights for the stagers.
	cache bool
	// memory is what the process may use, in bytes.
	memory int64
}

func controlCommon(s *Control) *Common { return &s.common }

// ControlKeys is the table of a control node's settings.
func ControlKeys() []Key[Control] {
	return append(commonKeys(controlCommon), []Key[Control]{
		{Path: "data.folder", Required: true, ValueKind: kindFolder, Doc: "folder of the control log",
			set: text(func(s *Control) *string { return &s.common.dataFolder })},
		{Path: "protocol", Default: "own", ValueKind: kindProtocol, Doc: "protocol that operators and backend servers speak",
			set: text(func(s *Control) *string { return &s.protocol })},
		{Path: "control.listen", Required: true, ValueKind: kindAddress, Doc: "where operators and backend servers call",
			set: address(func(s *Control) *string { return &s.listen })},
		{Path: "control.seeds", ValueKind: kindAddressList, Doc: "addresses of control nodes; links go to the port of peers.listen there",
			set: addresses(func(s *Control) *[]string { return &s.seeds })},
		{Path: "control.bootstrap", Default: "false", ValueKind: kindFlag, Doc: "form a new cluster when the folder and all seeds are empty: true at the very first start only",
			set: flag(func(s *Control) *bool { return &s.bootstrap })},
		{Path: "control.tolerate", Default: "1", ValueKind: kindCount, Doc: "control nodes that may be lost at one time; dead voters beyond twice that and one are taken out",
			set: count(0, 4, func(s *Control) *int { return &s.toleratedFailures })},
		{Path: "backends.heartbeat", Default: "1s", ValueKind: kindDuration, Doc: "time between two heartbeats of a backend server",
			set: duration(10*time.Millisecond, time.Minute, func(s *Control) *time.Duration { return &s.heartbeat })},
		{Path: "weights.cache", Default: "true", ValueKind: kindFlag, Doc: "keep the newest weights, in the data folder too, and hand them to the stagers",
			set: flag(func(s *Control) *bool { return &s.cache })},
		memoryKey(func(s *Control) *int64 { return &s.memory }),
	}...)
}

// LoadControl reads and checks a control node's settings file.
func LoadControl(path string) (Control, error) {
	var s Control
	if err := load(path, ControlKeys(), &s); err != nil {
		return s, err
	}
	if err := s.common.check(path); err != nil {
		return s, err
	}
	return s, checkDistinctListeners(path, s.listen, s.common.peersListen, s.common.observeListen)
}
