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

func TestAgentIsTheFenceOfAnEngineThatChecksNone(t *testing.T) {
	waited, overlaps := orderAfterRestart(t, false)
	if waited < orderLimit || overlaps > 0 {
		t.Errorf("an order %s after the restart, %d overlapped; the one before may take %s", waited, overlaps, orderLimit)
	}
	if _, overlaps := orderAfterRestart(t, true); overlaps == 0 {
		t.Error("without the quiet time no orders overlapped: the test would not notice")
	}
}

// orderAfterRestart kills an agent in the middle of an order and returns how
// long after its restart the next one came, and how many overlapped.
func orderAfterRestart(t *testing.T, skipQuiet bool) (waited time.Duration, overlaps int) {
	bubble.Run(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stop()
		w.agentSettings = fmt.Sprintf("engine: {url: \"http://127.0.0.1:1\", checks_fences: false, order_limit: %s}", orderLimit)
		w.agentFaults.SkipOrderWait = skipQuiet
		w.start()
		engine := w.engines["agent-1"]
		engine.setLoadTime(15 * time.Second)
		s, err := w.status("entry-1")
		w.must(err)
		_, err = w.apply("entry-1", "roll", s.Revision(), "v2")
		w.must(err)
		w.eventually("an order under way", func() bool { return engine.orders() > 1 })
		w.kill("agent-1")
		restarted, before := time.Now(), engine.orders()
		w.startAgent("agent-1")
		w.eventually("the next order", func() bool { return engine.orders() > before })
		waited, overlaps = time.Since(restarted), engine.overlapping()
	})
	return waited, overlaps
}
