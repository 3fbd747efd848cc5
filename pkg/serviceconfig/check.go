// ================================================================
// What a document must satisfy before it may be agreed on.
// ================================================================

package serviceconfig

import (
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Check refuses a document that could not be obeyed. The failure has the kind
// BadDocument and names the object at fault.
func (d Document) Check() error {
	services := map[string]bool{}
	for _, s := range d.services {
		if s.name == "" || services[s.name] {
			return badDocument("service name %q is empty or stands twice", s.name)
		}
		services[s.name] = true
	}
	places := map[string]bool{}
	for _, r := range d.routes {
		if err := r.check(services); err != nil {
			return err
		}
		place := r.host + "\x00" + r.prefix
		if places[place] {
			return badDocument("two routes have host %q and prefix %q", r.host, r.prefix)
		}
		places[place] = true
	}
	return checkKeys(d.organisations)
}

func (r Route) check(services map[string]bool) error {
	if !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		return badDocument("route %q: prefix %q does not begin and end with a slash", r.name, r.prefix)
	}
	if r.timeout <= 0 {
		return badDocument("route %q: its timeout is %s", r.name, r.timeout)
	}
	var sum uint64
	for _, t := range r.targets {
		if !services[t.service] {
			return badDocument("route %q leads to the unknown service %q", r.name, t.service)
		}
		sum += uint64(t.weight)
	}
	if sum == 0 {
		return badDocument("route %q: its weights add up to 0", r.name)
	}
	return nil
}

func checkKeys(organisations []Organisation) error {
	holders := map[string]string{}
	for _, o := range organisations {
		for _, key := range o.keys {
			if holder, taken := holders[key]; taken && holder != o.name {
				return badDocument("organisations %q and %q share a key", holder, o.name)
			}
			holders[key] = o.name
		}
	}
	return nil
}

func badDocument(format string, arguments ...any) error {
	return failure.New(failure.BadDocument, format, arguments...)
}
