// ================================================================
// All backend servers by service. The table is in shards by service, each
// under its own lock; the choice of one service never waits for another's.
// ================================================================

package gateway

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
)

const backendShards = 8

type backendShard struct {
	mu       sync.RWMutex
	services map[string]map[string]*backend // by service, by incarnation
}

// backends are all backend servers that this gateway was told of.
type backends struct {
	shards [backendShards]backendShard
}

func newBackends() *backends {
	t := &backends{}
	for i := range t.shards {
		t.shards[i].services = map[string]map[string]*backend{}
	}
	return t
}

func (t *backends) shard(service string) *backendShard {
	return &t.shards[xxhash.Sum64String(service)%backendShards]
}

// hear takes the word of a backend server.
func (t *backends) hear(r registry.Registration) {
	s := t.shard(r.Service())
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.services[r.Service()]
	if service == nil {
		service = map[string]*backend{}
		s.services[r.Service()] = service
	}
	if b := service[r.Incarnation()]; b != nil {
		b.hear(r)
		return
	}
	service[r.Incarnation()] = newBackend(r)
}

// hearLoad takes the load of an engine.
func (t *backends) hearLoad(l feed.Load) {
	s := t.shard(l.Service())
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, b := range s.services[l.Service()] {
		if b.address == l.Engine() {
			b.hearLoad(l)
		}
	}
}

// of returns the backend servers of a service, gone ones left out.
func (t *backends) of(service string) []*backend {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*backend, 0, len(s.services[service]))
	for _, b := range s.services[service] {
		all = append(all, b)
	}
	return all
}

// sweep closes old connections and those of backend servers that are gone.
// What is gone stays in the table: a late word must not bring it back.
func (t *backends) sweep() {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, service := range s.services {
			for _, b := range service {
				if b.word().State() == registry.Gone {
					b.pool.Close()
				} else {
					b.pool.CloseOld()
				}
			}
		}
		s.mu.RUnlock()
	}
}
