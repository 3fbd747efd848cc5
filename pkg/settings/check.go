// ================================================================
// Checks of combinations: each setting may be valid alone and still conflict with another.
// ================================================================

package settings

import "github.com/tidepost/tidepost/pkg/failure"

func (e *Entry) check(path string) error {
	if err := e.common.check(path); err != nil {
		return err
	}
	if e.voter && e.common.dataFolder == "" {
		return failure.New(failure.BadSettings, "%s: control_log.voter requires data.folder", path)
	}
	if e.defaultDeadline > e.maxDeadline {
		return failure.New(failure.BadSettings, "%s: requests.default_deadline %s is longer than requests.max_deadline %s",
			path, e.defaultDeadline, e.maxDeadline)
	}
	for _, other := range e.entries {
		if other == e.common.peersAdvertise {
			return failure.New(failure.BadSettings, "%s: peers.entries contains the address of this entry, %s", path, other)
		}
	}
	return checkDistinctListeners(path, e.callersListen, e.common.peersListen, e.common.observeListen)
}

func (a *Agent) check(path string) error {
	if err := a.common.check(path); err != nil {
		return err
	}
	if a.engineURL == "" && len(a.services) == 0 {
		return failure.New(failure.BadSettings, "%s: set engine.url, services, or both", path)
	}
	return checkDistinctListeners(path, a.common.peersListen, a.common.observeListen)
}

// checkDistinctListeners rejects two listeners on the same address. Empty addresses are ignored.
func checkDistinctListeners(path string, addresses ...string) error {
	seen := map[string]bool{}
	for _, a := range addresses {
		if a != "" && seen[a] {
			return failure.New(failure.BadSettings, "%s: two listeners on %s; set a different address for each", path, a)
		}
		seen[a] = true
	}
	return nil
}
