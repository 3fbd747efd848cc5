// ================================================================
// The log lines about quarantined requests, the same for gateways and control nodes.
// ================================================================

package quarantine

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// LogQuarantined logs the requests among some changed records that are quarantined, with the
// servers that crashed.
func LogQuarantined(logger log.Logger, changed []Record) {
	for _, r := range changed {
		if !r.IsQuarantined() {
			continue
		}
		var servers []string
		for _, crash := range r.crashes {
			servers = append(servers, crash.server)
		}
		_ = level.Warn(logger).Log("msg", "request ends backend servers", "fingerprint", r.fingerprint, "servers", servers)
	}
}
