// ================================================================
// The swarm decides for one copy on one agent which chunk to fetch next and
// from whom. It tracks the chunks of this agent, those of its neighbours and
// the fetches in flight.
//
// A chunk is fetched from a neighbour in the same failure domain if one holds
// it. It is fetched from the origin or another domain only under a lease of the
// coordinator, so that it leaves the origin once and enters each domain once.
// ================================================================

package spread

import (
	"math/rand/v2"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Defaults of a swarm.
const (
	// DefaultFetches is the limit of fetches in flight.
	DefaultFetches = 10
	// DefaultFetchesPerPeer is the limit of fetches in flight from one neighbour.
	DefaultFetchesPerPeer = 2
	// DefaultStallTimeout is how long a fetch may take before it counts as stalled.
	DefaultStallTimeout = 30 * time.Second

	// busyBackoff is how long a busy peer is not asked again: about as long as it takes
	// to transfer a chunk.
	busyBackoff = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the doubling backoff of a peer after failed fetches.
	minBackoff = 250 * time.Millisecond
	// corruptBackoff is the backoff after the first corrupt chunk from a peer.
	corruptBackoff = 5 * time.Second
	maxBackoff     = 30 * time.Second
	// hedgeFactor is how many times the mean duration a fetch may take before a second
	// one of the same chunk is started from another peer.
	hedgeFactor = 4
	// durationWeight is the weight of a new sample in the moving average of durations.
	durationWeight = 0.1
)

// Origin is the ID that stands for the origin instead of a peer.
const Origin vm.ID = ""

// Fetch is a chunk to fetch from a source.
type Fetch struct {
	Chunk int
	// Peer is the source; its ID is Origin for the origin.
	Peer vm.Identity
}

// SwarmConfig is the configuration of a swarm. Zero values of Fetches, FetchesPerPeer and
// StallTimeout select the defaults. Total is the number of chunks.
type SwarmConfig struct {
	Total          int
	Fetches        int
	FetchesPerPeer int
	StallTimeout   time.Duration
	Random         *rand.Rand
}

// neighbour is an agent of the same failure domain.
type neighbour struct {
	identity     vm.Identity
	held         Bitmap
	outstanding  int
	backoff      time.Duration
	backoffUntil time.Time
}

// activeFetch is a fetch in flight.
type activeFetch struct {
	peer    vm.ID
	started time.Time
}

// Swarm decides which chunks one agent fetches for one copy. It is not safe for concurrent
// use.
type Swarm struct {
	config       SwarmConfig
	held         Bitmap
	neighbours   map[vm.ID]*neighbour
	order        []vm.ID             // the neighbours in the order of their arrival
	availability []int               // per chunk, how many neighbours hold it
	leased       map[int]vm.Identity // per leased chunk, its source
	active       map[int][]activeFetch
	inFlight     int
	meanDuration time.Duration // moving average over successful fetches; 0 before the first
}

// NewSwarm returns a swarm of an agent that holds the given chunks already.
func NewSwarm(c SwarmConfig, held Bitmap) *Swarm {
	if c.Fetches == 0 {
		c.Fetches = DefaultFetches
	}
	if c.FetchesPerPeer == 0 {
		c.FetchesPerPeer = DefaultFetchesPerPeer
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = DefaultStallTimeout
	}
	return &Swarm{
		config:       c,
		held:         held,
		neighbours:   map[vm.ID]*neighbour{},
		availability: make([]int, c.Total),
		leased:       map[int]vm.Identity{},
		active:       map[int][]activeFetch{},
	}
}

// Held returns a copy of the set of chunks that the agent holds.
func (s *Swarm) Held() Bitmap { return BitmapOf(s.held.bytes, s.held.total) }

// Total returns how many chunks there are.
func (s *Swarm) Total() int { return s.config.Total }

// Count returns how many chunks the agent holds, without the copy that Held makes.
func (s *Swarm) Count() int { return s.held.Count() }

// Done reports whether the agent holds all chunks.
func (s *Swarm) Done() bool { return s.held.Full() }

// Neighbours returns the current neighbours.
func (s *Swarm) Neighbours() []vm.Identity {
	var identities []vm.Identity
	for _, id := range s.order {
		identities = append(identities, s.neighbours[id].identity)
	}
	return identities
}

// ----------------------------------------------------------------
// Chunks that other agents hold

// SetNeighbours replaces the set of neighbours. It keeps the state of those that remain,
// unless they have restarted.
func (s *Swarm) SetNeighbours(identities []vm.Identity) {
	wanted := map[vm.ID]bool{}
	for _, identity := range identities {
		wanted[identity.ID()] = true
		old := s.neighbours[identity.ID()]
		if old != nil && old.identity.SameIncarnation(identity) {
			continue
		}
		if old != nil {
			s.dropNeighbour(identity.ID())
		}
		s.neighbours[identity.ID()] = &neighbour{identity: identity, held: NewBitmap(s.config.Total)}
		s.order = append(s.order, identity.ID())
	}
	for _, id := range append([]vm.ID(nil), s.order...) {
		if !wanted[id] {
			s.dropNeighbour(id)
		}
	}
}

func (s *Swarm) dropNeighbour(id vm.ID) {
	n := s.neighbours[id]
	for i := range s.availability {
		if n.held.Has(i) {
			s.availability[i]--
		}
	}
	delete(s.neighbours, id)
	for i, other := range s.order {
		if other == id {
			s.order = append(s.order[:i:i], s.order[i+1:]...)
			return
		}
	}
}

// PeerHasChunks records that a neighbour holds a set of chunks.
func (s *Swarm) PeerHasChunks(id vm.ID, held Bitmap) {
	for i := range s.config.Total {
		if held.Has(i) {
			s.PeerHasChunk(id, i)
		}
	}
}

// PeerHasChunk records that a neighbour holds a chunk.
func (s *Swarm) PeerHasChunk(id vm.ID, chunk int) {
	if n := s.neighbours[id]; n != nil && n.held.Add(chunk) {
		s.availability[chunk]++
	}
}

// Lease records a lease, which allows the swarm to fetch a chunk from the origin or from an
// agent of another failure domain.
func (s *Swarm) Lease(chunk int, from vm.Identity) {
	if chunk >= 0 && chunk < s.config.Total && !s.held.Has(chunk) {
		s.leased[chunk] = from
	}
}

// ----------------------------------------------------------------
// Results of fetches

// FetchSucceeded records that a chunk has arrived and been verified. It returns the other
// fetches of the chunk, which the caller cancels.
func (s *Swarm) FetchSucceeded(chunk int, from vm.ID, now time.Time) []Fetch {
	for _, f := range s.active[chunk] {
		if f.peer == from {
			s.recordDuration(now.Sub(f.started))
		}
	}
	s.endFetch(chunk, from)
	if n := s.neighbours[from]; n != nil {
		n.backoff = 0
	}
	var others []Fetch
	for _, f := range append([]activeFetch(nil), s.active[chunk]...) {
		others = append(others, Fetch{Chunk: chunk, Peer: s.identity(f.peer)})
		s.endFetch(chunk, f.peer)
	}
	s.held.Add(chunk)
	delete(s.leased, chunk)
	return others
}

func (s *Swarm) recordDuration(d time.Duration) {
	if s.meanDuration == 0 {
		s.meanDuration = d
		return
	}
	s.meanDuration += time.Duration(durationWeight * float64(d-s.meanDuration))
}

// FetchFailed records that a fetch failed. The peer is not asked again for a while: for a
// short time if it was busy, with a doubling backoff if it was slow or unreachable, and
// with a backoff that starts higher if it sent a corrupt chunk. No peer is excluded
// permanently: in a small domain a few flipped bits would then leave no peer to ask.
func (s *Swarm) FetchFailed(chunk int, from vm.ID, kind failure.Kind, now time.Time) {
	s.endFetch(chunk, from)
	// The lease returns to the coordinator, which grants it again.
	delete(s.leased, chunk)
	n := s.neighbours[from]
	if n == nil {
		return
	}
	first := minBackoff
	switch kind {
	case failure.Overloaded:
		n.backoffUntil = now.Add(busyBackoff)
		return
	case failure.CorruptChunk:
		first = corruptBackoff
	}
	n.backoff = min(max(2*n.backoff, first), maxBackoff)
	n.backoffUntil = now.Add(n.backoff)
}

// endFetch removes one fetch of a chunk from those in flight.
func (s *Swarm) endFetch(chunk int, from vm.ID) {
	fetches := s.active[chunk]
	for i, f := range fetches {
		if f.peer != from {
			continue
		}
		s.active[chunk] = append(fetches[:i:i], fetches[i+1:]...)
		s.inFlight--
		if n := s.neighbours[from]; n != nil && n.outstanding > 0 {
			n.outstanding--
		}
		break
	}
	if len(s.active[chunk]) == 0 {
		delete(s.active, chunk)
	}
}

func (s *Swarm) identity(id vm.ID) vm.Identity {
	if n := s.neighbours[id]; n != nil {
		return n.identity
	}
	return vm.NewIdentity(id, 0, "", "", "")
}

// DropStalled records fetches that have exceeded the stall timeout as failed and returns
// them; the caller cancels them.
func (s *Swarm) DropStalled(now time.Time) []Fetch {
	var stalled []Fetch
	for chunk := range s.config.Total {
		for _, f := range append([]activeFetch(nil), s.active[chunk]...) {
			if now.Sub(f.started) < s.config.StallTimeout {
				continue
			}
			stalled = append(stalled, Fetch{Chunk: chunk, Peer: s.identity(f.peer)})
			s.FetchFailed(chunk, f.peer, failure.Unreachable, now)
		}
	}
	return stalled
}

// InFlight returns the number of fetches in flight.
func (s *Swarm) InFlight() int { return s.inFlight }
