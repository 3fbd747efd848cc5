package gateway

import (
	"fmt"
	"testing"
	"time"
)

// These tests guard against gateways that let go of a resuming stream: an order broke off its first
// attempt, and it waits for its first event elsewhere.

// resume lets a stream begin at an engine, and an order break it off there at a time.
func (w *scriptedWorld) resume(id string, at time.Duration) (c *streamCaller, own *scriptedEngine, broken time.Time) {
	c = w.ask(0, id, 12, 8*time.Second)
	w.sleepUntil(at)
	runs := w.runsOf(id)
	if len(runs) == 0 {
		w.t.Fatalf("%s was not sent: status %d, %s", id, c.status, c.body.String())
	}
	own = runs[0].engine
	own.set(func() { own.order = true })
	w.reportLoad(own)
	close(own.breakRuns)
	return c, own, time.Now()
}

// reload ends the order at an engine.
func (w *scriptedWorld) reload(e *scriptedEngine) {
	e.set(func() { e.order, e.version, e.breakRuns = false, 2, make(chan struct{}) })
	w.reportLoad(e)
}

// awaitSecondRun waits until a request that was broken off arrives at an engine again.
func (w *scriptedWorld) awaitSecondRun(c *streamCaller, broken time.Time) (r scriptedRun) {
	for time.Now().Before(c.deadline) {
		for _, r := range w.runsOf(c.id) {
			if r.receivedAt.After(broken) {
				return r
			}
		}
		time.Sleep(time.Millisecond)
	}
	w.t.Errorf("%s did not resume; runs:%s", c.id, w.describe(c.id))
	return scriptedRun{engine: w.engines[0]}
}

// Guards against a resuming stream that lets go of an engine while all engines stand still.
func TestResumingStreamIsKeptWhileAllEnginesStandStill(t *testing.T) {
	for name, returns := range map[string]bool{"at another engine": false, "back at its engine": true} {
		for stagers, c := range standstillWorlds {
			for _, length := range []time.Duration{1600 * time.Millisecond, 2200 * time.Millisecond, 2600 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s, %s", name, stagers, length), func(t *testing.T) {
					runScripted(t, "a", "abcab", func(w *scriptedWorld) {
						var others []*streamCaller
						for i := range 4 {
							others = append(others, w.ask(0, fmt.Sprintf("other-%d", i), 20, 12*time.Second))
							time.Sleep(50 * time.Millisecond)
						}
						if returns {
							for _, e := range w.engines {
								e.set(func() { e.order = e != w.engines[0] })
								w.reportLoad(e)
							}
						}
						s, own, broken := w.resume("s", 1290*time.Millisecond)
						if returns {
							time.Sleep(engineLoadTime)
							w.reload(own)
						}
						for _, c := range append(others, s) {
							if w.runsOf(c.id)[0].broken {
								w.awaitSecondRun(c, broken)
							}
						}
						time.Sleep(5 * time.Millisecond) // the engines accept the resumed ones
						for _, e := range w.engines {
							e.set(func() { e.order, e.reports, e.stager, e.full = false, c.reports, c.stager, c.full })
							e.standStill(length)
						}
						w.checkKept(append(others, s)...)
					})
				})
			}
		}
	}
}

// Guards against a resuming stream that lets go of an engine with a slow first event, when the
// stager of the next one grants a slot, or does not answer, and that engine is full.
func TestResumingStreamIsKeptIfTheNextEngineRefuses(t *testing.T) {
	for name, mode := range map[string]stagerMode{"granted": stagerGrants, "no answer": stagerUnanswering} {
		t.Run(name, func(t *testing.T) {
			runScripted(t, "a", "ab", func(w *scriptedWorld) {
				own, other := w.engines[0], w.engines[1]
				other.set(func() { other.order = true })
				w.reportLoad(other)
				s, _, broken := w.resume("s", 1290*time.Millisecond)
				time.Sleep(engineLoadTime)
				w.reload(own)
				w.awaitSecondRun(s, broken)
				own.standStill(1800 * time.Millisecond)
				own.set(func() { own.reports = false })
				other.set(func() { other.order, other.version, other.full, other.stager = false, 2, true, mode })
				w.reportLoad(other)
				own.set(func() { own.full = true })
				w.checkKept(s)
			})
		})
	}
}

// A resuming stream whose next engine hangs for good is completed by its first one, which has carried
// out the order.
func TestResumingStreamOfAHungEngineIsMoved(t *testing.T) {
	runScripted(t, "a", "abb", func(w *scriptedWorld) {
		s, own, broken := w.resume("s", 1290*time.Millisecond)
		next := w.awaitSecondRun(s, broken).engine
		next.standStill(30 * time.Second)
		next.set(func() { next.reports = false })
		time.Sleep(engineLoadTime)
		w.reload(own)
		w.checkComplete(s)
	})
}

// A resuming stream that waits at an engine whose version expires begins elsewhere while there is a slot:
// once it is canceled there, the other engines are full.
func TestResumingStreamMovesBeforeTheVersionExpires(t *testing.T) {
	const left = 2500 * time.Millisecond
	runScripted(t, "a", "abb", func(w *scriptedWorld) {
		s, own, broken := w.resume("s", 1290*time.Millisecond)
		next := w.awaitSecondRun(s, broken).engine
		next.standStill(30 * time.Second)
		w.nameVersion(left)
		for _, e := range w.engines {
			e.set(func() { e.full = e != own })
		}
		time.Sleep(engineLoadTime)
		w.reload(own)
		time.Sleep(left - defaultCancelMargin - engineLoadTime - 100*time.Millisecond)
		own.set(func() { own.full = true })
		w.checkComplete(s)
	})
}
