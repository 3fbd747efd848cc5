// ================================================================
// The table of all backend servers, in shards by service. Each shard has its own lock, so
// services don't wait for each other.
//
// A control node that never saw the registration reports a departure without the service. So
// departures are kept by incarnation, outside the shards, and a late registration from another
// node does not restore a departed server.
//
// A server may keep its incarnation when it restarts. The restarted server is a new backend:
// measurements of the earlier start don't apply, and its connections are closed.
// ================================================================

package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	backendShards = 8
	// departureTTL is how long a departure is remembered. Late registrations arrive within
	// seconds.
	departureTTL = 10 * time.Minute
)

type backendShard struct {
	mu        sync.RWMutex
	services  map[string]map[string]*backend // by service, then by incarnation
	byAddress map[serviceAddress][]*backend  // all that registered at an address, the latest last
}

// serviceAddress is the address at which a backend server takes requests of a service.
type serviceAddress struct {
	service, address string
}

// backends is the table of the backend servers that this gateway knows.
type backends struct {
	shards [backendShards]backendShard

	departedLock sync.Mutex
	departed     map[string]departure // by incarnation
}

// departure records that all starts of an incarnation up to lastStart are gone.
type departure struct {
	lastStart  uint64
	recordedAt time.Time
}

func newBackends() *backends {
	t := &backends{departed: map[string]departure{}}
	for i := range t.shards {
		t.shards[i].services = map[string]map[string]*backend{}
		t.shards[i].byAddress = map[serviceAddress][]*backend{}
	}
	return t
}

func (t *backends) shard(service string) *backendShard {
	return &t.shards[xxhash.Sum64String(service)%backendShards]
}

// applyRegistration adds or updates a backend server from a registration, or records its
// departure. It reports whether a server that took requests drains or has left by it.
func (t *backends) applyRegistration(r registry.Registration) (leaves bool) {
	if r.State() == registry.Gone {
		return t.markDeparted(r.Incarnation(), r.StartedAt())
	}
	if t.hasDeparted(r) {
		return false
	}
	t.markEarlierStartsGone(r)
	s := t.shard(r.Service())
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.services[r.Service()]
	if service == nil {
		service = map[string]*backend{}
		s.services[r.Service()] = service
	}
	if b := service[r.Incarnation()]; b != nil {
		if b.latestRegistration().StartedAt() >= r.StartedAt() {
			return b.updateRegistration(r)
		}
		b.pool.Close()
		s.removeAddress(b)
	}
	b := newBackend(r)
	if t.hasDeparted(r) {
		// A departure was recorded after the check above.
		b.markGone()
	}
	service[r.Incarnation()] = b
	at := serviceAddress{r.Service(), r.Address()}
	s.byAddress[at] = append(s.byAddress[at], b)
	return false
}

// markEarlierStartsGone marks the earlier starts of a registration's incarnation as gone. The
// later start may have another service or address.
func (t *backends) markEarlierStartsGone(r registry.Registration) {
	if r.StartedAt() == 0 {
		return
	}
	t.each(func(b *backend, id string) {
		if id == r.Incarnation() && b.latestRegistration().StartedAt() < r.StartedAt() {
			b.markGone()
		}
	})
}

// markDeparted records that the starts of an incarnation up to start are gone, in all services;
// start 0 stands for all known starts. It records the departure before it marks the backends,
// since applyRegistration checks departures last. It reports whether one of them took requests before.
func (t *backends) markDeparted(incarnation string, start uint64) (leaves bool) {
	if start == 0 {
		start = t.latestStart(incarnation)
	}
	t.departedLock.Lock()
	t.departed[incarnation] = departure{max(start, t.departed[incarnation].lastStart), time.Now()}
	t.departedLock.Unlock()
	t.each(func(b *backend, id string) {
		if r := b.latestRegistration(); id == incarnation && r.StartedAt() <= start {
			leaves = leaves || !r.State().Leaves()
			b.markGone()
		}
	})
	return leaves
}

// latestStart returns the latest known start of an incarnation, or 0 if none is known.
func (t *backends) latestStart(incarnation string) (start uint64) {
	t.each(func(b *backend, id string) {
		if id == incarnation {
			start = max(start, b.latestRegistration().StartedAt())
		}
	})
	return start
}

// hasDeparted reports whether a registration belongs to a start that has departed.
func (t *backends) hasDeparted(r registry.Registration) bool {
	t.departedLock.Lock()
	defer t.departedLock.Unlock()
	d, gone := t.departed[r.Incarnation()]
	return gone && r.StartedAt() <= d.lastStart
}

// each calls f with every backend server and its incarnation.
func (t *backends) each(f func(b *backend, incarnation string)) {
	for i := range t.shards {
		t.shards[i].each(f)
	}
}

func (s *backendShard) each(f func(b *backend, incarnation string)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, service := range s.services {
		for incarnation, b := range service {
			f(b, incarnation)
		}
	}
}

// applyLoadReport stores the load report of an engine. Hundreds of engines report several times a
// second, so the engine is looked up by address. A late heartbeat may register an earlier
// incarnation after the current one, so all backends at the address get the report; the first
// answer shows which incarnation runs.
func (t *backends) applyLoadReport(l feed.Load) {
	s := t.shard(l.Service())
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, b := range s.byAddress[serviceAddress{l.Service(), l.Engine()}] {
		b.recordLoadReport(l)
	}
}

// forService returns the backend servers of a service, including departed ones until the next
// sweep.
func (t *backends) forService(service string) []*backend {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*backend, 0, len(s.services[service]))
	for _, b := range s.services[service] {
		all = append(all, b)
	}
	return all
}

// sweep closes old connections and removes departed backend servers, and departures that are
// older than departureTTL.
func (t *backends) sweep() {
	t.each(func(b *backend, _ string) { b.pool.CloseExpired() })
	for i := range t.shards {
		t.shards[i].removeGone()
	}
	t.departedLock.Lock()
	defer t.departedLock.Unlock()
	for incarnation, d := range t.departed {
		if time.Since(d.recordedAt) > departureTTL {
			delete(t.departed, incarnation)
		}
	}
}

// removeGone removes the backend servers that are gone.
func (s *backendShard) removeGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.services {
		for incarnation, b := range service {
			if b.latestRegistration().State() == registry.Gone {
				b.pool.Close()
				delete(service, incarnation)
				s.removeAddress(b)
			}
		}
	}
}

// removeAddress removes a backend from the list of its address; other backends may share the
// address.
func (s *backendShard) removeAddress(gone *backend) {
	at := serviceAddress{gone.latestRegistration().Service(), gone.address}
	s.byAddress[at] = slices.DeleteFunc(s.byAddress[at], func(b *backend) bool { return b == gone })
	if len(s.byAddress[at]) == 0 {
		delete(s.byAddress, at)
	}
}
