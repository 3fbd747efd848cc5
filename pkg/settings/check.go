// ================================================================
// Checks of settings that are each valid and impossible together.
// ================================================================

package settings

import "github.com/tidepost/tidepost/pkg/failure"

func (e *Entry) check(path string) error {
	if err := e.common.check(path); err != nil {
		return err
	}
	if e.voter && e.common.dataFolder == "" {
		return failure.New(failure.BadSettings, "%s: control_log.voter needs data.folder", path)
	}
	if e.defaultDeadline > e.maxDeadline {
		return failure.New(failure.BadSettings, "%s: requests.default_deadline %s is after requests.max_deadline %s",
			path, e.defaultDeadline, e.maxDeadline)
	}
	for _, other := range e.entries {
		if other == e.common.peersAdvertise {
			return failure.New(failure.BadSettings, "%s: peers.entries names this entry itself, %s", path, other)
		}
	}
	return checkDistinctListeners(path, e.callersListen, e.common.peersListen, e.common.observeListen)
}

func (a *Agent) check(path string) error {
	if err := a.common.check(path); err != nil {
		return err
	}
	if a.engineURL == "" && len(a.services) == 0 {
		return failure.New(failure.BadSettings, "%s: name engine.url, services, or both", path)
	}
	return checkDistinctListeners(path, a.common.peersListen, a.common.observeListen)
}

// checkDistinctListeners refuses two listeners on one address.
func checkDistinctListeners(path string, addresses ...string) error {
	seen := map[string]bool{}
	for _, a := range addresses {
		if a != "" && seen[a] {
			return failure.New(failure.BadSettings, "%s: two listeners on %s; give each its own address", path, a)
		}
		seen[a] = true
	}
	return nil
}
