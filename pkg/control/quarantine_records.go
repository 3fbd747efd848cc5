// ================================================================
// Distribution of the quarantine records, which describe requests that crash backend servers. A
// control node publishes the records that gateways report, and the leader decides which gateway may
// try a quarantined request again.
// ================================================================

package control

import (
	"context"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/quarantine"
)

// mergeRecords merges quarantine records from a gateway, another node or the disk, and publishes
// those that changed.
func (s *Service) mergeRecords(records []quarantine.Record) {
	changed, _ := s.quarantine.Merge(records)
	s.publisher.QueueRecords(changed)
	s.onRecordsChanged(changed)
	quarantine.LogQuarantined(s.logger, s.quarantine, changed)
}

// requestTrial asks the leader whether a gateway may try a quarantined request again. A single node
// decides, so that only one gateway tries it.
func (s *Service) requestTrial(f quarantine.Fingerprint, tester string) {
	if _, err := s.callLeader(context.Background(), leaderRequest{trial: f, tester: tester}); err != nil {
		// The gateway asks again as long as such requests arrive.
		_ = level.Info(s.logger).Log("msg", "requesting a trial failed", "fingerprint", f, "tester", tester, "err", err)
	}
}

// grantTrial allows a gateway to try a quarantined request again if a trial is due. It runs on the
// leader, after a quorum has confirmed the leadership.
func (s *Service) grantTrial(f quarantine.Fingerprint, tester string) {
	r, granted := s.quarantine.GrantTrial(f, tester)
	if !granted {
		return
	}
	s.publisher.QueueRecords([]quarantine.Record{r})
	s.onRecordsChanged([]quarantine.Record{r})
	_ = level.Info(s.logger).Log("msg", "trial granted", "fingerprint", f, "tester", tester, "trials", r.Trials())
}
