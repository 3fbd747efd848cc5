// ================================================================
// The settings of tidepost-control.
// ================================================================

package settings

import "time"

// Control holds the settings of a control node.
//
//wire:accessors
type Control struct {
	// common holds the settings that all daemons share.
	common Common
	// protocol is the name of the protocol that operators and backend servers use.
	protocol string
	// listen is the address for operators and backend servers.
	listen string
	// seeds are addresses of control nodes to contact first.
	seeds []string
	// bootstrap allows the node to form a new cluster if its data folder is empty.
	bootstrap bool
	// toleratedFailures is the number of control nodes that may fail at the same time.
	toleratedFailures int
	// heartbeat is the time between two heartbeats of a backend server.
	heartbeat time.Duration
	// cache is set if the node keeps the newest weights for the stagers.
	cache bool
	// memory is the memory limit of the process in bytes.
	memory int64
	// regions holds the region of each failure domain.
	regions map[string]string
}

func controlCommon(s *Control) *Common { return &s.common }

// ControlKeys returns the keys of a control node's settings file.
func ControlKeys() []Key[Control] {
	return append(commonKeys(controlCommon), []Key[Control]{
		{Path: "data.folder", Required: true, ValueKind: kindFolder, Doc: "folder of the control log",
			set: text(func(s *Control) *string { return &s.common.dataFolder })},
		{Path: "protocol", Default: "own", ValueKind: kindProtocol, Doc: "protocol that operators and backend servers use",
			set: text(func(s *Control) *string { return &s.protocol })},
		{Path: "control.listen", Required: true, ValueKind: kindAddress, Doc: "address for operators and backend servers",
			set: address(func(s *Control) *string { return &s.listen })},
		{Path: "control.seeds", ValueKind: kindAddressList, Doc: "addresses of control nodes; links use the port of this process's peers.advertise there",
			set: addresses(func(s *Control) *[]string { return &s.seeds })},
		{Path: "control.bootstrap", Default: "false", ValueKind: kindFlag, Doc: "form a new cluster if the data folders of this node and of all seeds are empty; set it to true for the very first start only",
			set: flag(func(s *Control) *bool { return &s.bootstrap })},
		{Path: "control.tolerate", Default: "1", ValueKind: kindCount, Doc: "number t of control nodes that may fail at the same time; unresponsive voters are removed while 2t+1 responsive ones remain",
			set: count(0, 4, func(s *Control) *int { return &s.toleratedFailures })},
		{Path: "backends.heartbeat", Default: "1s", ValueKind: kindDuration, Doc: "time between two heartbeats of a backend server",
			set: duration(10*time.Millisecond, time.Minute, func(s *Control) *time.Duration { return &s.heartbeat })},
		{Path: "weights.cache", Default: "true", ValueKind: kindFlag, Doc: "keep the newest weights, also in the data folder, and serve them to the stagers",
			set: flag(func(s *Control) *bool { return &s.cache })},
		regionsKey(func(s *Control) *map[string]string { return &s.regions }),
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
	s.regions = s.common.withOwnRegion(s.regions)
	return s, checkDistinctListeners(path, s.listen, s.common.peersListen, s.common.observeListen)
}
