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
	// DefaultStall is when a fetch counts as stalled.
	DefaultStall = 30 * time.Second

	// busyPause is how long a peer that is busy is left alone: about as long as
	// it takes to pass a chunk on.
	busyPause    = 200 * time.Millisecond
	firstPenalty = 250 * time.Millisecond
	// corruptPenalty follows the first corrupt chunk of a peer.
	corruptPenalty = 5 * time.Second
	maxPenalty     = 30 * time.Second
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
	Stall          time.Duration
	Random         *rand.Rand
}

// neighbour is an agent of the same failure domain.
type neighbour struct {
	identity    vm.Identity
	held        Bitmap
	outstanding int
	penalty     time.Duration
	quietUntil  time.Time
}

// flight is a chunk on its way.
type flight struct {
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
	flights      map[int][]flight
	inFlight     int
	usual        time.Duration
}

// NewSwarm returns a swarm that holds some chunks already.
func NewSwarm(c SwarmConfig, held Bitmap) *Swarm {
	if c.Fetches == 0 {
		c.Fetches = DefaultFetches
	}
	if c.FetchesPerPeer == 0 {
		c.FetchesPerPeer = DefaultFetchesPerPeer
	}
	if c.Stall == 0 {
		c.Stall = DefaultStall
	}
	return &Swarm{
		config:       c,
		held:         held,
		neighbours:   map[vm.ID]*neighbour{},
		availability: make([]int, c.Total),
		leased:       map[int]vm.Identity{},
		flights:      map[int][]flight{},
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

// PeerHolds says that a neighbour holds a set of chunks.
func (s *Swarm) PeerHolds(id vm.ID, held Bitmap) {
	for i := range s.config.Total {
		if held.Has(i) {
			s.PeerHas(id, i)
		}
	}
}

// PeerHas says that a neighbour holds a chunk.
func (s *Swarm) PeerHas(id vm.ID, chunk int) {
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

// Got says that a chunk came and was verified. It returns the other fetches
// of the chunk, which are to be cancelled.
func (s *Swarm) Got(chunk int, from vm.ID, now time.Time) []Fetch {
	for _, f := range s.flights[chunk] {
		if f.peer == from {
			s.learnDuration(now.Sub(f.started))
		}
	}
	s.land(chunk, from)
	if n := s.neighbours[from]; n != nil {
		n.penalty = 0
	}
	var others []Fetch
	for _, f := range append([]flight(nil), s.flights[chunk]...) {
		others = append(others, Fetch{Chunk: chunk, Peer: s.identity(f.peer)})
		s.land(chunk, f.peer)
	}
	s.held.Add(chunk)
	delete(s.leased, chunk)
	return others
}

func (s *Swarm) learnDuration(d time.Duration) {
	if s.usual == 0 {
		s.usual = d
		return
	}
	s.usual += time.Duration(durationWeight * float64(d-s.usual))
}

// Lost says that a fetch failed. The peer is left alone for a while: a short
// one when it was busy, a longer one each time when it was slow or gone, and
// the longest when it sent a corrupt chunk. Nobody is left alone for good: in a
// small domain a few flipped bits would then leave nobody to ask.
func (s *Swarm) Lost(chunk int, from vm.ID, kind failure.Kind, now time.Time) {
	s.land(chunk, from)
	// A lease goes back to the coordinator, which gives it out again.
	delete(s.leased, chunk)
	n := s.neighbours[from]
	if n == nil {
		return
	}
	first := firstPenalty
	switch kind {
	case failure.Overloaded:
		n.quietUntil = now.Add(busyPause)
		return
	case failure.CorruptChunk:
		first = corruptPenalty
	}
	n.penalty = min(max(2*n.penalty, first), maxPenalty)
	n.quietUntil = now.Add(n.penalty)
}

// land takes one fetch of a chunk out of flight.
func (s *Swarm) land(chunk int, from vm.ID) {
	flights := s.flights[chunk]
	for i, f := range flights {
		if f.peer != from {
			continue
		}
		s.flights[chunk] = append(flights[:i:i], flights[i+1:]...)
		s.inFlight--
		if n := s.neighbours[from]; n != nil && n.outstanding > 0 {
			n.outstanding--
		}
		break
	}
	if len(s.flights[chunk]) == 0 {
		delete(s.flights, chunk)
	}
}

func (s *Swarm) identity(id vm.ID) vm.Identity {
	if n := s.neighbours[id]; n != nil {
		return n.identity
	}
	return vm.NewIdentity(id, 0, "", "", "")
}

// Stalled takes fetches out of flight that have taken too long, and returns
// them to be cancelled.
func (s *Swarm) Stalled(now time.Time) []Fetch {
	var stalled []Fetch
	for chunk := range s.config.Total {
		for _, f := range append([]flight(nil), s.flights[chunk]...) {
			if now.Sub(f.started) < s.config.Stall {
				continue
			}
			stalled = append(stalled, Fetch{Chunk: chunk, Peer: s.identity(f.peer)})
			s.Lost(chunk, f.peer, failure.Unreachable, now)
		}
	}
	return stalled
}

// InFlight returns how many fetches are on their way.
func (s *Swarm) InFlight() int { return s.inFlight }
