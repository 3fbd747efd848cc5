// ================================================================
// Lookup in a document: by host and longest prefix, by key, by service. An index is built
// once per document and never changed, so readers take no lock.
// ================================================================

package serviceconfig

import (
	"net"
	"sort"
	"strings"
)

// Index is a document with lookup tables. It is safe for concurrent use.
type Index struct {
	document       Document
	byHost         map[string][]*Route
	byKey          map[string]*Organisation
	serviceByName  map[string]*Service
	serviceByModel map[string]string // service name by model name
}

// NewIndex returns the index of a document that Check has accepted.
func NewIndex(d Document) *Index {
	x := &Index{
		document:       d,
		byHost:         map[string][]*Route{},
		byKey:          map[string]*Organisation{},
		serviceByName:  map[string]*Service{},
		serviceByModel: map[string]string{},
	}
	for i := range d.routes {
		r := &d.routes[i]
		host := strings.ToLower(r.host)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, routes := range x.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].prefix) > len(routes[j].prefix) })
	}
	for i := range d.organisations {
		for _, key := range d.organisations[i].keys {
			x.byKey[key] = &d.organisations[i]
		}
	}
	for i := range d.services {
		s := &d.services[i]
		x.serviceByName[s.name] = s
		for _, model := range s.engine.models {
			x.serviceByModel[model] = s.name
		}
	}
	return x
}

// Number returns the document's number.
func (x *Index) Number() uint64 { return x.document.number }

// Document returns the document.
func (x *Index) Document() Document { return x.document }

// Route returns the route with the longest matching prefix for a host, with or without
// port, and a raw path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns a host in lower case, without port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// RequiresKey reports whether callers have to send a key.
func (x *Index) RequiresKey() bool { return len(x.document.organisations) > 0 }

// OrganisationOf returns the organisation that holds a key.
func (x *Index) OrganisationOf(key string) (*Organisation, bool) {
	o, ok := x.byKey[key]
	return o, ok
}

// Service returns the service of that name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.serviceByName[name]
	return s, ok
}

// ServiceOfModel returns the service whose engines serve a model.
func (x *Index) ServiceOfModel(model string) (*Service, bool) {
	return x.Service(x.serviceByModel[model])
}

// Origin returns the address of the first weights origin, or "".
func (x *Index) Origin() string {
	for _, s := range x.document.services {
		if s.origin != "" {
			return s.origin
		}
	}
	return ""
}

// Pick returns the service for point, a random number in [0, 1), by the route's weights.
func (r *Route) Pick(point float64) string {
	var sum uint64
	for _, t := range r.targets {
		sum += uint64(t.weight)
	}
	remaining := uint64(point * float64(sum))
	for _, t := range r.targets {
		if remaining < uint64(t.weight) {
			return t.service
		}
		remaining -= uint64(t.weight)
	}
	return r.targets[len(r.targets)-1].service
}
