package prove

import (
	"testing"

	"github.com/tidepost/tidepost/internal/bubble"
)

// Checks the test cluster itself, without faults, so that a failing proof is not caused by the cluster.
func TestClusterServes(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.start()
		body, a := cl.chat("entry-4", "first")
		if !a.isComplete() || a.body != completeResponse(body) {
			t.Errorf("response %+v", a)
		}
		cl.eventually("the plain service", func() bool { return cl.orderFromService("entry-2", "", "try").isComplete() })
		if a := cl.orderFromService("entry-2", "key-1", "flour"); a.body != "done:flour" {
			t.Errorf("order %+v", a)
		}
	})
}
