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

// ReportLoad tells the primary the load of the engine here. It hands it on.
func (f *Follower) ReportLoad(l Load) { f.sendToPrimary(FollowerMessage{load: &l}) }

// ReportDemand tells the primary how many requests for engines come to the gateway
// here, a second.
func (f *Follower) ReportDemand(perSecond float64) {
	f.sendToPrimary(FollowerMessage{demand: perSecond})
}

// RequestTrial asks the primary to let the gateway here try a barred request once more. Where
// it may, a record says so.
func (f *Follower) RequestTrial(request quarantine.Fingerprint) {
	f.sendToPrimary(FollowerMessage{trialRequest: request})
}

// sendKnownRecords tells a node that is heard for the first time what is known of requests
// under which servers ended.
func (f *Follower) sendKnownRecords(stream *link.Stream) {
	if f.Records == nil {
		return
	}
	if known := truncateRecords(quarantine.Sorted(f.Records()), maxInitialRecords); len(known) > 0 {
		// A failure shows in the reading.
		_ = stream.Send(FollowerMessage{records: known})
	}
}

// ReportRecords tells all nodes that are heard what was learnt of requests under which
// servers ended: with one of them lost, the others still hear of it.
func (f *Follower) ReportRecords(records []quarantine.Record) {
	f.sendToAll(FollowerMessage{records: records})
}

// ReportRetryUsage tells all nodes that are heard what the gateway here had spent; nothing may be
// sent from here afterwards.
func (f *Follower) ReportRetryUsage(s RetryUsage) { f.sendToAll(FollowerMessage{retryUsage: &s}) }

// sendToAll tells all nodes that are heard.
func (f *Follower) sendToAll(w FollowerMessage) {
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

func (f *Follower) sendToPrimary(w FollowerMessage) {
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
	return f.inventory.demandsByDomain()
}

// Gateways returns how many gateways there are; 0 while that is not known.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inventory.gateways
}

// Peers returns the followers that this one is to know, by link address: the gateways of a
// gateway, and the stagers and caches of a stager or a cache.
func (f *Follower) Peers() map[string]Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.inventory.peers)
}
