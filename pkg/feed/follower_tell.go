// ================================================================
// What a follower tells the nodes that it hears, and what its primary told it of the
// other followers.
// ================================================================

package feed

import (
	"maps"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

// Tell tells the primary the load of the engine here. It hands it on.
func (f *Follower) Tell(l Load) { f.tellPrimary(Word{load: &l}) }

// TellDemand tells the primary how many requests for engines come to the gateway
// here, a second.
func (f *Follower) TellDemand(perSecond float64) { f.tellPrimary(Word{demand: perSecond}) }

// AskTrial asks the primary to let the gateway here try a barred request once more. Where
// it may, a record says so.
func (f *Follower) AskTrial(request quarantine.Fingerprint) { f.tellPrimary(Word{trial: request}) }

// tellKnownRecords tells a node that is heard for the first time what is known of requests
// under which servers ended.
func (f *Follower) tellKnownRecords(stream *link.Stream) {
	if f.Records == nil {
		return
	}
	if known := firstOf(quarantine.Sorted(f.Records()), maxKnownRecords); len(known) > 0 {
		// A failure shows in the reading.
		_ = stream.Send(Word{records: known})
	}
}

// TellRecords tells all nodes that are heard what was learnt of requests under which
// servers ended: with one of them lost, the others still hear of it.
func (f *Follower) TellRecords(records []quarantine.Record) { f.tellAll(Word{records: records}) }

// TellSpent tells all nodes that are heard what the gateway here had spent; nothing may be
// sent from here afterwards.
func (f *Follower) TellSpent(s Spent) { f.tellAll(Word{spent: &s}) }

// tellAll tells all nodes that are heard.
func (f *Follower) tellAll(w Word) {
	f.mu.Lock()
	var heard []*link.Stream
	for _, s := range f.streams {
		if s.stream != nil {
			heard = append(heard, s.stream)
		}
	}
	f.mu.Unlock()
	for _, stream := range heard {
		// A failure shows in the reading.
		_ = stream.Send(w)
	}
}

func (f *Follower) tellPrimary(w Word) {
	f.mu.Lock()
	stream := f.primary
	f.mu.Unlock()
	if stream != nil {
		// A failure shows in the reading, which then forgets the stream.
		_ = stream.Send(w)
	}
}

// Demands returns how many requests for engines come to all gateways a second,
// by failure domain.
func (f *Follower) Demands() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.census.byDomain()
}

// Gateways returns how many gateways there are; 0 while that is not known.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.census.gateways
}

// Peers returns the followers that this one is to know, by link address: the gateways of a
// gateway, and the stagers and caches of a stager or a cache.
func (f *Follower) Peers() map[string]Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.census.peers)
}
