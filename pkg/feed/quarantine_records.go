// ================================================================
// Distribution of quarantine records: records of requests that were running when a backend server
// crashed. All gateways must have them within a second or two, so they are distributed as
// registrations are: each node that learns of a new one sends it to all its gateways and nodes.
//
// They must not saturate links either. A backend server that crashes has tens of requests running,
// nearly all of them harmless. So records with one crash are sent to nodes only, which merge them, as are
// those of requests that ran to completion and whose crashes don't count yet, and the records of one Update
// are bounded. Sent to 149 gateways over two streams each, 1,440
// requests of 120 backend servers that crash at once would be 1,440 x 298 x 130 B, or 55 MB; this
// way all gateways have the relevant record after 0.5 MB.
// ================================================================

package feed

import (
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

// maxRecordsPerUpdate bounds the records of one Update, about 150 bytes each. Unless they are
// urgent, at most 16 are sent to a gateway in 80 ms and to another node in 400 ms.
const maxRecordsPerUpdate = 16

// maxKnownRecords bounds the fingerprints of the records that one follower knows; a table has as many.
const maxKnownRecords = 1024

// QueueRecords queues records for the followers that need them.
func (p *Publisher) QueueRecords(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	queued := newQueuedRecords(records)
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		s.queueRecords(queued)
	}
}

// queuedRecord is a record with whether gateways need it at once.
type queuedRecord struct {
	quarantine.Record
	isUrgent bool
}

func newQueuedRecords(records []quarantine.Record) (queued []queuedRecord) {
	for _, r := range records {
		queued = append(queued, queuedRecord{r, r.IsSuspicious()})
	}
	return queued
}

// wantsRecords reports whether quarantine records are sent to this follower.
func (s *subscriber) wantsRecords() bool {
	return s.hello.role == RoleGateway || s.hello.role == RoleNode
}

// queueRecords queues records, and wakes the sender at once if one of them is urgent.
func (s *subscriber) queueRecords(records []queuedRecord) {
	if !s.wantsRecords() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fallback {
		return
	}
	urgent := false
	for _, r := range records {
		_, isQueued := s.records[r.Fingerprint()]
		r.isUrgent = r.isUrgent || isQueued && s.hello.role == RoleGateway || s.knownRecords[r.Fingerprint()]
		if s.hello.role == RoleNode || r.isUrgent {
			s.records[r.Fingerprint()] = r.Record
		}
		urgent = urgent || r.isUrgent
	}
	switch {
	case len(s.records) == 0:
	case urgent:
		daemon.Wake(s.wakeNow)
	default:
		daemon.Wake(s.wakeBatched)
	}
}

// recordReceived records that the follower sent records, so that it gets their later changes.
func (s *subscriber) recordReceived(records []quarantine.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.recordKnown(r)
	}
}

// recordKnown records that the follower knows a suspicious record, so that it soon gets its later changes
// too: a completed run may clear it.
func (s *subscriber) recordKnown(r quarantine.Record) {
	if !r.IsSuspicious() {
		return
	}
	if len(s.knownRecords) >= maxKnownRecords {
		clear(s.knownRecords)
	}
	s.knownRecords[r.Fingerprint()] = true
}

// dequeueRecords removes the most urgent records from the queue and returns them. The caller holds
// the lock.
func (s *subscriber) dequeueRecords() []quarantine.Record {
	if len(s.records) == 0 {
		return nil
	}
	var all []quarantine.Record
	for _, r := range s.records {
		all = append(all, r)
	}
	all = truncateRecords(quarantine.SortByCrashes(all), maxRecordsPerUpdate)
	for _, r := range all {
		delete(s.records, r.Fingerprint())
		s.recordKnown(r)
	}
	if len(s.records) > 0 {
		daemon.Wake(s.wakeBatched)
	}
	return all
}

// truncateRecords returns at most limit records from the front.
func truncateRecords(records []quarantine.Record, limit int) []quarantine.Record {
	return records[:min(len(records), limit)]
}
