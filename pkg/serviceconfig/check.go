// ================================================================
// Validation of a document before the control nodes may agree on it.
// ================================================================

package serviceconfig

import (
	"slices"
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Check validates the document. The failure has the kind BadDocument and names the invalid
// object.
func (d Document) Check() error {
	services := map[string]bool{}
	for _, s := range d.services {
		if s.name == "" || services[s.name] {
			return badDocument("service name %q is empty or not unique", s.name)
		}
		if !(s.warmupRate >= 0) { // also false for NaN
			return badDocument("service %q: %v requests a second while warming up", s.name, s.warmupRate)
		}
		services[s.name] = true
	}
	keys := map[string]bool{}
	for _, r := range d.routes {
		if err := r.check(services); err != nil {
			return err
		}
		key := r.host + "\x00" + r.prefix
		if keys[key] {
			return badDocument("two routes have host %q and prefix %q", r.host, r.prefix)
		}
		keys[key] = true
	}
	return checkOrganisations(d.organisations)
}

func (r Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		return badDocument("route %q: prefix %q does not begin and end with a slash", r.name, r.prefix)
	}
	if r.timeout <= 0 {
		return badDocument("route %q: timeout %s is not above 0", r.name, r.timeout)
	}
	var sum uint64
	for _, t := range r.targets {
		if !services[t.service] {
			return badDocument("route %q has the unknown service %q as a target", r.name, t.service)
		}
		sum += uint64(t.weight)
	}
	if sum == 0 {
		return badDocument("route %q: the weights of its targets sum to 0", r.name)
	}
	if slices.Contains(r.allowedRegions, "") {
		return badDocument("route %q: an allowed region has no name", r.name)
	}
	return nil
}

// checkOrganisations refuses a key that two organisations hold, and allowed regions without a name.
func checkOrganisations(organisations []Organisation) error {
	holders := map[string]string{}
	for _, o := range organisations {
		if slices.Contains(o.allowedRegions, "") {
			return badDocument("organisation %q: an allowed region has no name", o.name)
		}
		for _, key := range o.keys {
			if holder, taken := holders[key]; taken && holder != o.name {
				return badDocument("organisations %q and %q share a key", holder, o.name)
			}
			holders[key] = o.name
		}
	}
	return nil
}

// badDocument returns a failure of the kind BadDocument.
func badDocument(format string, arguments ...any) error {
	return failure.New(failure.BadDocument, format, arguments...)
}
