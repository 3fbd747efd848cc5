// ================================================================
// An engine that does not check fences cannot reject a stale order. After a
// restart its agent therefore waits for the order limit, so that an order of
// its previous process cannot overlap with the next one.
// ================================================================

package prove

import (
	"fmt"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
)

const orderLimit = 20 * time.Second

// Guards against an agent that restarts in the middle of an order and gives the next one while the
// engine still executes the first.
func TestAgentWaitsOutOrderLimitOfUnfencedEngine(t *testing.T) {
	waited, overlaps := firstOrderAfterRestart(t, false)
	if waited < orderLimit || overlaps > 0 {
		t.Errorf("next order %s after the restart, %d overlapping orders; want a wait of at least %s and no overlap", waited, overlaps, orderLimit)
	}
	if _, overlaps := firstOrderAfterRestart(t, true); overlaps == 0 {
		t.Error("no orders overlapped with the wait disabled: the test would not detect a missing wait")
	}
}

// firstOrderAfterRestart kills an agent in the middle of an order. It returns the time from the
// agent's restart to the next order, and the number of overlapping orders.
func firstOrderAfterRestart(t *testing.T, skipWait bool) (waited time.Duration, overlaps int) {
	bubble.Run(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.agentSettings = fmt.Sprintf("engine: {url: \"http://127.0.0.1:1\", checks_fences: false, order_limit: %s}", orderLimit)
		cl.agentFaults.SkipOrderWait = skipWait
		cl.start()
		engine := cl.engines["agent-1"]
		engine.setLoadTime(15 * time.Second)
		s, err := cl.status("entry-1")
		cl.must(err)
		_, err = cl.apply("entry-1", "roll", s.Revision(), "v2")
		cl.must(err)
		cl.eventually("an order in progress", func() bool { return engine.ordersReceived() > 1 })
		cl.kill("agent-1")
		restarted, before := time.Now(), engine.ordersReceived()
		cl.startAgent("agent-1")
		cl.eventually("the next order", func() bool { return engine.ordersReceived() > before })
		waited, overlaps = time.Since(restarted), engine.overlappingOrders()
	})
	return waited, overlaps
}
