// ================================================================
// The rules. Each function returns a new check with its own state.
// ================================================================

package replay

import (
	"fmt"
	"strings"

	"github.com/tidepost/tidepost/pkg/event"
)

// oneLeaderPerTerm: each term of the control log has at most one leader.
func oneLeaderPerTerm() func(event.Event) string {
	leaders := map[string]string{}
	return func(e event.Event) string {
		if e.Kind() != event.LeaderElected {
			return ""
		}
		if other, ok := leaders[e.Detail()]; ok && other != e.Subject() {
			return fmt.Sprintf("%s has the leaders %s and %s", e.Detail(), other, e.Subject())
		}
		leaders[e.Detail()] = e.Subject()
		return ""
	}
}

// revisionNeverReverts: the revision of a process never decreases until the process restarts.
func revisionNeverReverts() func(event.Event) string {
	highest := map[string]uint64{}
	return func(e event.Event) string {
		switch e.Kind() {
		case event.ProcessStarted:
			// A process that starts serves no requests until it has caught up, so its revision may be older.
			delete(highest, e.Process())
		case event.ConfigApplied:
			var revision uint64
			if _, err := fmt.Sscanf(e.Detail(), "revision %d", &revision); err != nil {
				return "no revision in " + e.Detail()
			}
			if revision < highest[e.Process()] {
				return fmt.Sprintf("revision %d after %d", revision, highest[e.Process()])
			}
			highest[e.Process()] = revision
		}
		return ""
	}
}

// oneAttemptPerClaim: only one attempt holds the claim of an idempotency key until it is settled.
func oneAttemptPerClaim() func(event.Event) string {
	holders := map[string]string{}
	return func(e event.Event) string {
		switch e.Kind() {
		case event.ClaimTaken:
			if other, ok := holders[e.Detail()]; ok && other != e.Subject() {
				return fmt.Sprintf("claim %q is held by %s and %s", e.Detail(), other, e.Subject())
			}
			holders[e.Detail()] = e.Subject()
		case event.ClaimSettled:
			delete(holders, e.Detail())
		}
		return ""
	}
}

// readyOnlyAfterOrder: a copy becomes ready only after an order to load it. A restart of the process
// or the loss of its engine voids earlier orders.
func readyOnlyAfterOrder() func(event.Event) string {
	ordered := map[string]bool{}
	return func(e event.Event) string {
		copyKey := e.Process() + " " + e.Subject()
		switch {
		case e.Kind() == event.ProcessStarted || e.Kind() == event.EngineLost:
			for key := range ordered {
				if strings.HasPrefix(key, e.Process()+" ") {
					delete(ordered, key)
				}
			}
		case e.Kind() == event.OrderGiven && strings.HasPrefix(e.Detail(), "load "):
			ordered[copyKey] = true
		case e.Kind() == event.CopyPhaseChanged && strings.HasSuffix(e.Detail(), "-> ready"):
			if !ordered[copyKey] {
				return fmt.Sprintf("%s is ready without an order", e.Subject())
			}
		}
		return ""
	}
}

// noInvariantBroken: no process has reported a broken invariant.
func noInvariantBroken() func(event.Event) string {
	return func(e event.Event) string {
		if e.Kind() == event.InvariantBroken {
			return e.Subject() + ": " + e.Detail()
		}
		return ""
	}
}
