// ================================================================
// The swarm: one agent's part in spreading one copy. It knows which chunks
// are here, which its neighbours hold, what is on its way, and decides what
// to fetch next from whom.
//
// A chunk comes from a neighbour of the same failure domain whenever one has
// it. It comes from the origin or from another domain only under a lease of
// the coordinator, so that each chunk leaves the origin once and enters each
// domain once.
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
	// DefaultFetches is how many chunks are on their way at one time.
	DefaultFetches = 10
	// DefaultFetchesPerPeer bounds those from one neighbour.
	DefaultFetchesPerPeer = 2
	// DefaultStallTimeout is when a fetch counts as stalled.
	DefaultStallTimeout = 30 * time.Second

	// busyBackoff is how long a peer that is busy is left alone: about as long as
	// it takes to pass a chunk on.
	busyBackoff = 200 * time.Millisecond
	minBackoff  = 250 * time.Millisecond
	// corruptBackoff follows the first corrupt chunk of a peer.
	corruptBackoff = 5 * time.Second
	maxBackoff     = 30 * time.Second
	// hedgeFactor is how many times the usual duration a fetch may take
	// before a second one is started elsewhere.
	hedgeFactor = 4
	// durationWeight is the part of a new sample in the usual duration.
	durationWeight = 0.1
)

// Origin is the source that is no peer.
const Origin vm.ID = ""

// Fetch is a chunk to fetch from a source.
type Fetch struct {
	Chunk int
	// Peer is who to ask; its ID is Origin for the origin.
	Peer vm.Identity
}

// SwarmConfig are the constants of a swarm.
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

// activeFetch is a chunk on its way.
type activeFetch struct {
	peer    vm.ID
	started time.Time
}

// Swarm decides for one copy on one agent. It is used by one goroutine.
type Swarm struct {
	config       SwarmConfig
	held         Bitmap
	neighbours   map[vm.ID]*neighbour
	order        []vm.ID
	availability []int
	leased       map[int]vm.Identity
	active       map[int][]activeFetch
	inFlight     int
	meanDuration time.Duration
}

// NewSwarm returns a swarm that holds some chunks already.
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

// Held returns the chunks that are here.
func (s *Swarm) Held() Bitmap { return BitmapOf(s.held.bytes, s.held.total) }

// Total returns how many chunks there are, and Count how many are here, without
// the copy that Held makes.
func (s *Swarm) Total() int { return s.config.Total }

// Count returns how many chunks are here.
func (s *Swarm) Count() int { return s.held.Count() }

// Done tells whether all chunks are here.
func (s *Swarm) Done() bool { return s.held.Full() }

// Neighbours returns whom the swarm listens to.
func (s *Swarm) Neighbours() []vm.Identity {
	var identities []vm.Identity
	for _, id := range s.order {
		identities = append(identities, s.neighbours[id].identity)
	}
	return identities
}

// ----------------------------------------------------------------
// What others hold

// SetNeighbours replaces the set of neighbours. What is known of those that
// stay is kept.
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

// PeerHasChunks says that a neighbour holds a set of chunks.
func (s *Swarm) PeerHasChunks(id vm.ID, held Bitmap) {
	for i := range s.config.Total {
		if held.Has(i) {
			s.PeerHasChunk(id, i)
		}
	}
}

// PeerHasChunk says that a neighbour holds a chunk.
func (s *Swarm) PeerHasChunk(id vm.ID, chunk int) {
	if n := s.neighbours[id]; n != nil && n.held.Add(chunk) {
		s.availability[chunk]++
	}
}

// Lease lets the swarm fetch a chunk from the origin or from an agent of
// another failure domain.
func (s *Swarm) Lease(chunk int, from vm.Identity) {
	if chunk >= 0 && chunk < s.config.Total && !s.held.Has(chunk) {
		s.leased[chunk] = from
	}
}

// ----------------------------------------------------------------
// What came of fetches

// FetchSucceeded says that a chunk came and was verified. It returns the other fetches
// of the chunk, which are to be cancelled.
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

// FetchFailed says that a fetch failed. The peer is left alone for a while: a short
// one when it was busy, a longer one each time when it was slow or gone, and
// the longest when it sent a corrupt chunk. Nobody is left alone for good: in a
// small domain a few flipped bits would then leave nobody to ask.
func (s *Swarm) FetchFailed(chunk int, from vm.ID, kind failure.Kind, now time.Time) {
	s.endFetch(chunk, from)
	// A lease goes back to the coordinator, which gives it out again.
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

// endFetch takes one fetch of a chunk out of flight.
func (s *Swarm) endFetch(chunk int, from vm.ID) {
	flights := s.active[chunk]
	for i, f := range flights {
		if f.peer != from {
			continue
		}
		s.active[chunk] = append(flights[:i:i], flights[i+1:]...)
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

// DropStalled takes fetches out of flight that have taken too long, and returns
// them to be cancelled.
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

// InFlight returns how many fetches are on their way.
func (s *Swarm) InFlight() int { return s.inFlight }
