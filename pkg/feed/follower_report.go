// ================================================================
// Reports of a follower to the nodes it is connected to, and accessors for what its primary sent
// about the other followers.
// ================================================================

package feed

import (
	"maps"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

// ReportLoad sends the load of the local engine to the primary, which distributes it.
func (f *Follower) ReportLoad(load Load) { f.sendToPrimary(FollowerMessage{load: &load}) }

// ReportDemand sends the rate of requests for engines at the local gateway to the primary, in
// requests per second.
func (f *Follower) ReportDemand(perSecond float64) {
	f.sendToPrimary(FollowerMessage{demand: perSecond})
}

// RequestTrial asks the primary to let the local gateway run a quarantined request once more. If it
// may, a quarantine record says so.
func (f *Follower) RequestTrial(request quarantine.Fingerprint) {
	f.sendToPrimary(FollowerMessage{trialRequest: request})
}

// sendKnownRecords sends the quarantine records of this process over a new stream.
func (f *Follower) sendKnownRecords(stream *link.Stream) {
	if f.Records == nil {
		return
	}
	if known := truncateRecords(quarantine.SortByCrashes(f.Records()), maxInitialRecords); len(known) > 0 {
		// The receiving goroutine gets the failure too.
		_ = stream.Send(FollowerMessage{records: known})
	}
}

// ReportRecords sends new quarantine records to all connected nodes: if one of them is lost, the
// others still have them.
func (f *Follower) ReportRecords(records []quarantine.Record) {
	f.sendToAll(FollowerMessage{records: records})
}

// ReportRetryUsage sends the retry usage of the local gateway to all connected nodes. The gateway
// must not send any request to a backend server afterwards.
func (f *Follower) ReportRetryUsage(usage RetryUsage) {
	f.sendToAll(FollowerMessage{retryUsage: &usage})
}

// sendToAll sends a message to all connected nodes.
func (f *Follower) sendToAll(m FollowerMessage) {
	f.mu.Lock()
	var connected []*link.Stream
	for _, s := range f.streams {
		if s.stream != nil {
			connected = append(connected, s.stream)
		}
	}
	f.mu.Unlock()
	for _, stream := range connected {
		// The receiving goroutine gets the failure too.
		_ = stream.Send(m)
	}
}

func (f *Follower) sendToPrimary(m FollowerMessage) {
	f.mu.Lock()
	stream := f.primary
	f.mu.Unlock()
	if stream != nil {
		// The receiving goroutine gets the failure too and drops the stream.
		_ = stream.Send(m)
	}
}

// Demands returns the rate of requests for engines at all gateways, in requests per second, by
// failure domain.
func (f *Follower) Demands() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inventory.demandsByDomain()
}

// Gateways returns the number of gateways; 0 while it is not known.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inventory.gateways
}

// Peers returns the peers of this follower, by link address: the gateways for a gateway, the
// stagers and caches for a stager or a cache.
func (f *Follower) Peers() map[string]Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.inventory.peers)
}
