// ================================================================
// What a control node does with what gateways learn of requests that end servers: it tells
// the others, and the leader says who may try one once more.
// ================================================================

package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/quarantine"
)

// mergeRecords takes what a gateway or another node tells of requests under which servers
// ended, and has what is new told to all others.
func (s *Service) mergeRecords(records []quarantine.Record) {
	changed, _ := s.quarantine.Merge(records)
	s.publisher.QueueRecords(changed)
	s.onRecordsChanged(changed)
	quarantine.LogQuarantined(s.logger, changed)
}

// requestTrial has the leader decide whether a gateway may try a barred request once more: one
// node decides, so that not each gateway tries it.
func (s *Service) requestTrial(f quarantine.Fingerprint, tester string) {
	if _, err := s.callLeader(context.Background(), leaderRequest{trial: f, tester: tester}); err != nil {
		// The gateway asks again while the request comes.
		_ = level.Info(s.logger).Log("msg", "no trial of a request", "fingerprint", f, "tester", tester, "err", err)
	}
}

// grantTrial lets a gateway try a barred request once more, if it is time. The caller is
// the leader, and a quorum has just confirmed that.
func (s *Service) grantTrial(f quarantine.Fingerprint, tester string) {
	r, granted := s.quarantine.GrantTrial(f, tester)
	if !granted {
		return
	}
	s.publisher.QueueRecords([]quarantine.Record{r})
	s.onRecordsChanged([]quarantine.Record{r})
	_ = level.Info(s.logger).Log("msg", "trial of a request", "fingerprint", f, "tester", tester, "trials", r.Trials())
}
