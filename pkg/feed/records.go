// ================================================================
// What control nodes tell of requests under which servers ended. All gateways have to
// know within a second or two, so it goes the way of registrations: whichever node
// learns something new tells all gateways and nodes that it serves.
//
// It must not fill links either. A server that ends takes tens of requests with it, and
// nearly all of them are innocent: records of one end go to the nodes only, which put them
// together, and what is told at a time is bounded. Told to 149 gateways over two streams
// each, 1,440 requests of 120 servers that end at one moment come to 1,440 x 298 x 130 B,
// or 55 MB; this way all gateways know of the one that matters after 0.5 MB.
// ================================================================

package feed

import (
	"slices"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

// maxRecordsPerUpdate bounds the records of one Update, some 150 bytes each: 16 in 80 ms to
// a gateway and in 400 ms to another node, but for those that are urgent.
const maxRecordsPerUpdate = 16

// QueueRecords queues records for the followers that need them.
func (p *Publisher) QueueRecords(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.subscribers {
		s.queueRecords(records)
	}
}

// wantsRecords tells whether a follower needs to know of requests.
func (s *subscriber) wantsRecords() bool {
	return s.hello.role == RoleGateway || s.hello.role == RoleNode
}

// queueRecords queues records, and has them told at once where one may soon keep a request
// away, or clears one.
func (s *subscriber) queueRecords(records []quarantine.Record) {
	if !s.wantsRecords() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fallback {
		return
	}
	for _, r := range records {
		if s.hello.role == RoleNode || isUrgent(r) {
			s.records[r.Fingerprint()] = r
		}
	}
	switch {
	case len(s.records) == 0:
	case slices.ContainsFunc(records, isUrgent):
		daemon.Wake(s.wakeNow)
	default:
		daemon.Wake(s.wakeBatched)
	}
}

// isUrgent tells whether a record may soon keep its request away, or clears one.
func isUrgent(r quarantine.Record) bool { return len(r.Ends()) > 1 || len(r.Whole()) > 0 }

// dequeueRecords takes the most urgent records off the queue. The caller holds the lock.
func (s *subscriber) dequeueRecords() []quarantine.Record {
	if len(s.records) == 0 {
		return nil
	}
	var all []quarantine.Record
	for _, r := range s.records {
		all = append(all, r)
	}
	all = truncateRecords(quarantine.Sorted(all), maxRecordsPerUpdate)
	for _, r := range all {
		delete(s.records, r.Fingerprint())
	}
	if len(s.records) > 0 {
		daemon.Wake(s.wakeBatched)
	}
	return all
}

// truncateRecords returns the first records, so many at the most.
func truncateRecords(records []quarantine.Record, most int) []quarantine.Record {
	return records[:min(len(records), most)]
}
