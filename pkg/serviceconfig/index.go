// ================================================================
// The lookup of a document: by host and longest prefix, by key, by service.
// It is built once a document and never changed, so readers take no lock.
// ================================================================

package serviceconfig

import (
	"net"
	"sort"
	"strings"
)

// Index is a document made ready for lookups. It is safe for concurrent use.
type Index struct {
	document       Document
	byHost         map[string][]*Route
	byKey          map[string]*Organisation
	serviceByName  map[string]*Service
	serviceByModel map[string]string // model name to service name
}

// NewIndex returns the index of a checked document.
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

// Route returns the route of a host (with or without port) and a raw path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// RequiresKey tells whether callers have to name a key.
func (x *Index) RequiresKey() bool { return len(x.document.organisations) > 0 }

// OrganisationOf returns the organisation that holds a key.
func (x *Index) OrganisationOf(key string) (*Organisation, bool) {
	o, ok := x.byKey[key]
	return o, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.serviceByName[name]
	return s, ok
}

// ServiceOfModel returns the service whose engines serve a model.
func (x *Index) ServiceOfModel(model string) (*Service, bool) {
	return x.Service(x.serviceByModel[model])
}

// Origin returns the address of the weights origin, or "".
func (x *Index) Origin() string {
	for _, s := range x.document.services {
		if s.origin != "" {
			return s.origin
		}
	}
	return ""
}

// Pick returns the service for a point in [0, 1) of the route's weights.
func (r *Route) Pick(point float64) string {
	var sum uint64
	for _, t := range r.targets {
		sum += uint64(t.weight)
	}
	rest := uint64(point * float64(sum))
	for _, t := range r.targets {
		if rest < uint64(t.weight) {
			return t.service
		}
		rest -= uint64(t.weight)
	}
	return r.targets[len(r.targets)-1].service
}
