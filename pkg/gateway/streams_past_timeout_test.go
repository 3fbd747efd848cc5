package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	// lateFirstEvent is when the stream of these tests gets its only event at its first engine, and
	// lateCut when an order cuts it off there, shortly before its caller is expected to leave.
	lateFirstEvent = 200 * time.Millisecond
	lateCut        = lateFirstEvent + 2750*time.Millisecond
	// lateEnd is just after the caller is expected to leave.
	lateEnd = lateFirstEvent + 3300*time.Millisecond
)

// cutLate lets an order cut off a stream whose slow engine is far behind. The other engine is full.
func (w *scriptedWorld) cutLate(timeout time.Duration) (c *streamCaller, other *scriptedEngine) {
	slow, other := w.engines[0], w.engines[1]
	slow.gap, slow.phase = time.Minute, w.started.Add(lateFirstEvent-time.Minute)
	other.set(func() { other.full, other.stager = true, stagerRefuses })
	c = w.ask(0, "s", 8, timeout)
	w.sleepUntil(lateCut)
	slow.set(func() { slow.order, slow.full = true, true })
	w.reportLoad(slow)
	close(slow.breakRuns)
	return c, other
}

// Guards against a stream that its gateway ends although its caller stays: the other engine takes it only
// after its caller was expected to leave.
func TestStreamIsResumedForCallerThatStays(t *testing.T) {
	runScripted(t, "a", "ab", func(w *scriptedWorld) {
		c, other := w.cutLate(6 * time.Second)
		w.sleepUntil(lateEnd)
		other.set(func() { other.full, other.stager = false, stagerGrants })
		w.checkComplete(c)
	})
}

// A stream that waits longer than its caller was expected to stay ends with its caller, and is not sent again.
func TestStreamIsNotResumedForCallerThatLeft(t *testing.T) {
	runScripted(t, "a", "ab", func(w *scriptedWorld) {
		c, other := w.cutLate(time.Minute)
		w.sleepUntil(lateEnd)
		rejected := len(w.runsOf("s"))
		c.leave()
		other.set(func() { other.full, other.stager = false, stagerGrants })
		<-c.done
		if late := time.Since(w.started) - lateEnd; late > time.Millisecond {
			t.Errorf("it ended %s after its caller left", late)
		}
		time.Sleep(time.Second)
		if n := len(w.runsOf("s")); n > rejected {
			t.Errorf("it was sent %d times after its caller left; runs:%s", n-rejected, w.describe("s"))
		}
	})
}

// A stream that has no server left ends when its caller is expected to leave, since nothing can be done for it.
func TestStreamWithoutAServerIsNotHeld(t *testing.T) {
	runScripted(t, "a", "ab", func(w *scriptedWorld) {
		w.withdraw(w.engines[1])
		c, _ := w.cutLate(time.Minute)
		w.withdraw(w.engines[0])
		<-c.done
		if ended := time.Since(w.started); ended > lateEnd {
			t.Errorf("it ended at %s", ended)
		}
	})
}

// withdraw reports to all gateways that an engine leaves.
func (w *scriptedWorld) withdraw(e *scriptedEngine) {
	for _, g := range w.gateways {
		w.register(g, e, registry.Draining)
	}
}
