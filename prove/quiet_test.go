// ================================================================
// An engine that does not check fences: after the agent's restart no order is
// given until the longest one must be over.
// ================================================================

package prove

import (
	"fmt"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
)

const orderLimit = 20 * time.Second

func TestAgentWaitsOutOrderLimitOfUnfencedEngine(t *testing.T) {
	waited, overlaps := firstOrderAfterRestart(t, false)
	if waited < orderLimit || overlaps > 0 {
		t.Errorf("an order %s after the restart, %d overlapped; the one before may take %s", waited, overlaps, orderLimit)
	}
	if _, overlaps := firstOrderAfterRestart(t, true); overlaps == 0 {
		t.Error("without the quiet time no orders overlapped: the test would not notice")
	}
}

// firstOrderAfterRestart kills an agent in the middle of an order and returns how
// long after its restart the next one came, and how many overlapped.
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
		cl.eventually("an order under way", func() bool { return engine.ordersReceived() > 1 })
		cl.kill("agent-1")
		restarted, before := time.Now(), engine.ordersReceived()
		cl.startAgent("agent-1")
		cl.eventually("the next order", func() bool { return engine.ordersReceived() > before })
		waited, overlaps = time.Since(restarted), engine.overlappingOrders()
	})
	return waited, overlaps
}
