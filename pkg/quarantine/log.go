// ================================================================
// The log lines about quarantined requests, the same for gateways and control nodes.
// ================================================================

package quarantine

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// LogQuarantined logs what is quarantined among some changed records, with the servers that crashed.
func LogQuarantined(logger log.Logger, t *Table, changed []Record) {
	for _, r := range changed {
		c := t.causes.of(r.fingerprint)
		if c == nil || c.verdict != Quarantined {
			continue
		}
		var servers []string
		for _, crash := range r.crashes {
			servers = append(servers, crash.server)
		}
		_ = level.Warn(logger).Log("msg", "request ends backend servers", "fingerprint", r.fingerprint, "part", r.fingerprint.Part(), "with", len(c.members)-1, "servers", servers)
	}
}
