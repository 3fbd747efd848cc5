// ================================================================
// The choice of the next fetch: leases first, then any chunk that a neighbour
// holds, then, at the end, a second try of what is slow.
// ================================================================

package spread

import (
	"sort"
	"time"

	"github.com/tidepost/tidepost/pkg/vm"
)

// Next returns the fetches to start now.
func (s *Swarm) Next(now time.Time) []Fetch {
	var fetches []Fetch
	for s.inFlight < s.config.Fetches {
		f, ok := s.choose(now)
		if !ok {
			break
		}
		s.start(f, now)
		fetches = append(fetches, f)
	}
	return fetches
}

func (s *Swarm) choose(now time.Time) (Fetch, bool) {
	if f, ok := s.chooseLeased(); ok {
		return f, true
	}
	if f, ok := s.chooseFromNeighbour(now); ok {
		return f, true
	}
	return s.chooseHedge(now)
}

func (s *Swarm) start(f Fetch, now time.Time) {
	s.active[f.Chunk] = append(s.active[f.Chunk], activeFetch{peer: f.Peer.ID(), started: now})
	s.inFlight++
	if n := s.neighbours[f.Peer.ID()]; n != nil {
		n.outstanding++
	}
}

// chooseLeased returns the lowest leased chunk that is not on its way.
func (s *Swarm) chooseLeased() (Fetch, bool) {
	chunks := make([]int, 0, len(s.leased))
	for chunk := range s.leased {
		if len(s.active[chunk]) == 0 {
			chunks = append(chunks, chunk)
		}
	}
	if len(chunks) == 0 {
		return Fetch{}, false
	}
	sort.Ints(chunks)
	return Fetch{Chunk: chunks[0], Peer: s.leased[chunks[0]]}, true
}

// chooseFromNeighbour picks at random among the chunks that are missing, not on their
// way, and held by a neighbour who may be asked.
//
// Rejected: the rarest chunk first. The agents of a domain see almost the same
// neighbours, so all of them run to the same rare chunk and its one holder:
// at 100 VMs the time was 1.22 of the fluid bound against 1.20, and 1.58
// against 1.39 when holders take twice as many uploads.
func (s *Swarm) chooseFromNeighbour(now time.Time) (Fetch, bool) {
	best, ties := -1, 0
	for chunk, available := range s.availability {
		if available == 0 || s.held.Has(chunk) || len(s.active[chunk]) > 0 {
			continue
		}
		if _, ok := s.leased[chunk]; ok {
			continue
		}
		ties++
		if s.config.Random.IntN(ties) == 0 && s.bestHolder(chunk, now) != nil {
			best = chunk
		}
	}
	if best < 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: best, Peer: s.bestHolder(best, now).identity}, true
}

// bestHolder returns the neighbour with the chunk that has the fewest of our
// fetches, at random among equals; nil when all are busy or quiet.
func (s *Swarm) bestHolder(chunk int, now time.Time) *neighbour {
	var best *neighbour
	ties := 0
	for _, id := range s.order {
		n := s.neighbours[id]
		if !n.held.Has(chunk) || !s.mayAsk(n, now) {
			continue
		}
		switch {
		case best == nil || n.outstanding < best.outstanding:
			best, ties = n, 1
		case n.outstanding == best.outstanding:
			ties++
			if s.config.Random.IntN(ties) == 0 {
				best = n
			}
		}
	}
	return best
}

func (s *Swarm) mayAsk(n *neighbour, now time.Time) bool {
	return n.outstanding < s.config.FetchesPerPeer && !now.Before(n.backoffUntil)
}

// chooseHedge starts a second fetch of the chunk that has been on its way the
// longest, if that is far longer than usual and somebody else has it.
func (s *Swarm) chooseHedge(now time.Time) (Fetch, bool) {
	if s.meanDuration == 0 {
		return Fetch{}, false
	}
	oldest, since := -1, now.Add(-hedgeFactor*s.meanDuration)
	for chunk := range s.config.Total {
		flights := s.active[chunk]
		if len(flights) == 1 && flights[0].started.Before(since) && s.otherHolder(chunk, flights[0].peer, now) != nil {
			oldest, since = chunk, flights[0].started
		}
	}
	if oldest < 0 {
		return Fetch{}, false
	}
	return Fetch{Chunk: oldest, Peer: s.otherHolder(oldest, s.active[oldest][0].peer, now).identity}, true
}

func (s *Swarm) otherHolder(chunk int, not vm.ID, now time.Time) *neighbour {
	for _, id := range s.order {
		n := s.neighbours[id]
		if id != not && n.held.Has(chunk) && s.mayAsk(n, now) {
			return n
		}
	}
	return nil
}
