// ================================================================
// The log lines of requests that are kept away from servers, the same at gateways and
// control nodes.
// ================================================================

package quarantine

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// LogQuarantined logs those of some records that changed whose requests are kept away from
// servers, with the servers that ended.
func LogQuarantined(logger log.Logger, changed []Record) {
	for _, r := range changed {
		if !r.IsQuarantined() {
			continue
		}
		var servers []string
		for _, one := range r.crashes {
			servers = append(servers, one.server)
		}
		_ = level.Warn(logger).Log("msg", "request ends backend servers", "fingerprint", r.fingerprint, "servers", servers)
	}
}
