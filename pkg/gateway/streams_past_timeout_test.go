package gateway

import (
	"testing"
	"time"
)

// Guards against a stream that its gateway ends although its caller stays: its slow engine is 2.7 s behind
// when an order cuts the stream off, and the other engine is full until its caller was expected to leave.
func TestStreamIsResumedForCallerThatStays(t *testing.T) {
	const firstEvent, silent, expected = 200 * time.Millisecond, 2750 * time.Millisecond, 3200 * time.Millisecond
	runScripted(t, "a", "ab", func(w *scriptedWorld) {
		slow, other := w.engines[0], w.engines[1]
		slow.gap, slow.phase = time.Minute, w.started.Add(firstEvent-time.Minute)
		other.set(func() { other.full, other.stager = true, stagerRefuses })
		c := w.ask(0, "s", 8, 6*time.Second)
		w.sleepUntil(firstEvent + silent)
		slow.set(func() { slow.order, slow.full = true, true })
		w.reportLoad(slow)
		close(slow.breakRuns)
		w.sleepUntil(firstEvent + expected + 100*time.Millisecond)
		other.set(func() { other.full, other.stager = false, stagerGrants })
		w.checkComplete(c)
	})
}
