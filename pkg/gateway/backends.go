// ================================================================
// All backend servers by service. The table is in shards by service, each
// under its own lock; the choice of one service never waits for another's.
//
// The word that one is gone may come from a control node that never heard it
// before, and then names no service. So departures are kept by incarnation,
// apart from the shards: a late word of another node never brings one back.
//
// One that starts again may keep its incarnation. It is another backend server all the
// same: what was measured of the earlier start says nothing of it, and its connections
// are over.
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
	// departureTTL is how long a departure is remembered; words that are late
	// are so by seconds.
	departureTTL = 10 * time.Minute
)

type backendShard struct {
	mu        sync.RWMutex
	services  map[string]map[string]*backend // by service, by incarnation
	byAddress map[serviceAddress][]*backend  // those heard of at each address, the latest last
}

// serviceAddress is where a backend server takes requests of a service.
type serviceAddress struct {
	service, address string
}

// backends are all backend servers that this gateway was told of.
type backends struct {
	shards [backendShards]backendShard

	departedLock sync.Mutex
	departed     map[string]departure // by incarnation
}

// departure is that all starts of an incarnation up to one are gone.
type departure struct {
	lastStart  uint64 // the latest of them
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

// applyRegistration takes the word of a backend server.
func (t *backends) applyRegistration(r registry.Registration) {
	if r.State() == registry.Gone {
		t.markDeparted(r.Incarnation(), r.StartedAt())
		return
	}
	if t.hasDeparted(r) {
		return
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
			b.updateRegistration(r)
			return
		}
		b.pool.Close()
		s.removeAddress(b)
	}
	b := newBackend(r)
	if t.hasDeparted(r) {
		// The word that it left came after the look above.
		b.markGone()
	}
	service[r.Incarnation()] = b
	at := serviceAddress{r.Service(), r.Address()}
	s.byAddress[at] = append(s.byAddress[at], b)
}

// markEarlierStartsGone ends what is known of an incarnation's starts before the one of a word:
// the later one may be of another service, or at another address.
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

// markDeparted notes that the starts of an incarnation up to one are gone, whatever their
// service; with 0 all that are known. That is noted before the backend servers are looked
// at: a word that comes meanwhile looks there last.
func (t *backends) markDeparted(incarnation string, born uint64) {
	if born == 0 {
		born = t.latestStart(incarnation)
	}
	t.departedLock.Lock()
	t.departed[incarnation] = departure{max(born, t.departed[incarnation].lastStart), time.Now()}
	t.departedLock.Unlock()
	t.each(func(b *backend, id string) {
		if id == incarnation && b.latestRegistration().StartedAt() <= born {
			b.markGone()
		}
	})
}

// latestStart returns the latest start of an incarnation that is known; 0 where none is.
func (t *backends) latestStart(incarnation string) (born uint64) {
	t.each(func(b *backend, id string) {
		if id == incarnation {
			born = max(born, b.latestRegistration().StartedAt())
		}
	})
	return born
}

// hasDeparted tells whether a word is of a start that is gone.
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

// applyLoadReport takes the load of an engine. Hundreds of engines tell theirs several
// times a second, so it is found by its address and not by a look at all. A late
// heartbeat may make an earlier incarnation known after the one that is there now:
// all at the address take the load, and the first answer tells them apart.
func (t *backends) applyLoadReport(l feed.Load) {
	s := t.shard(l.Service())
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, b := range s.byAddress[serviceAddress{l.Service(), l.Engine()}] {
		b.recordLoadReport(l)
	}
}

// forService returns the backend servers of a service. Those that are gone are among
// them until the next sweep.
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

// sweep closes old connections, and forgets the backend servers that are gone
// and the departures that no late word can reach any more.
func (t *backends) sweep() {
	t.each(func(b *backend, _ string) { b.pool.CloseOld() })
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

// removeGone removes the backend servers that are gone and at rest.
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

// removeAddress forgets where a backend server was; others may be there.
func (s *backendShard) removeAddress(gone *backend) {
	at := serviceAddress{gone.latestRegistration().Service(), gone.address}
	s.byAddress[at] = slices.DeleteFunc(s.byAddress[at], func(b *backend) bool { return b == gone })
	if len(s.byAddress[at]) == 0 {
		delete(s.byAddress, at)
	}
}
