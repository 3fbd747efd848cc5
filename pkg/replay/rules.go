// ================================================================
// The rules. Each makes a function with memory of its own.
// ================================================================

package replay

import (
	"fmt"
	"strings"

	"github.com/tidepost/tidepost/pkg/event"
)

// oneLeaderATerm: a term of the control log has one leader at most.
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

// revisionNeverReverts: within one life of a process the revision only grows.
func revisionNeverReverts() func(event.Event) string {
	highest := map[string]uint64{}
	return func(e event.Event) string {
		switch e.Kind() {
		case event.ProcessStarted:
			// A process that starts serves nobody until it has caught up.
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

// oneAttemptHoldsAClaim: a key is claimed by one attempt, until it is settled.
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

// readyOnlyAfterAnOrder: a copy becomes ready by an order to load it.
func readyOnlyAfterOrder() func(event.Event) string {
	ordered := map[string]bool{}
	return func(e event.Event) string {
		copyOn := e.Process() + " " + e.Subject()
		switch {
		case e.Kind() == event.ProcessStarted || e.Kind() == event.EngineLost:
			for known := range ordered {
				if strings.HasPrefix(known, e.Process()+" ") {
					delete(ordered, known)
				}
			}
		case e.Kind() == event.OrderGiven && strings.HasPrefix(e.Detail(), "load "):
			ordered[copyOn] = true
		case e.Kind() == event.CopyPhaseChanged && strings.HasSuffix(e.Detail(), "-> ready"):
			if !ordered[copyOn] {
				return fmt.Sprintf("%s is ready without an order", e.Subject())
			}
		}
		return ""
	}
}

// noInvariantBroken: no process reported a broken invariant.
func noInvariantBroken() func(event.Event) string {
	return func(e event.Event) string {
		if e.Kind() == event.InvariantReported {
			return e.Subject() + ": " + e.Detail()
		}
		return ""
	}
}
