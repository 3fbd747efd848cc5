package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/registry"
)

// These tests guard against gateways that let go of a stream before another engine has begun it.
// In each the stream's own engine stands still for a while and then continues, so its caller gets
// the complete answer if the gateway keeps the stream open.

// standstillWorlds are how stagers behave while all engines stand still.
var standstillWorlds = map[string]struct {
	reports bool
	stager  stagerMode
	full    bool // engines refuse further requests
}{
	"stagers work":                   {true, stagerGrants, false},
	"stagers do nothing":             {false, stagerUnanswering, false},
	"reports are late":               {false, stagerGrants, false},
	"reports are late, and all full": {false, stagerGrants, true},
}

// Guards against streams moved while all engines stand still together: each seems to stand still
// alone to those whose last event came a little earlier.
func TestStreamsAreKeptWhileAllEnginesStandStill(t *testing.T) {
	for name, c := range standstillWorlds {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s, phases %d", name, seed), func(t *testing.T) {
				runScripted(t, "abc", "aabbcc", func(w *scriptedWorld) {
					random := rand.New(rand.NewPCG(seed, 1))
					between := func(least, most time.Duration) time.Duration {
						return least + time.Duration(random.Float64()*float64(most-least))
					}
					for _, e := range w.engines {
						e.gap = between(150*time.Millisecond, 250*time.Millisecond)
						e.phase = w.started.Add(-between(0, e.gap))
					}
					var all []*streamCaller
					for i := range 12 {
						time.Sleep(between(0, 60*time.Millisecond))
						all = append(all, w.ask(i%3, fmt.Sprintf("s-%d", i), 15, 7*time.Second))
					}
					w.sleepUntil(between(1500*time.Millisecond, 2*time.Second))
					length := between(1400*time.Millisecond, 2*time.Second)
					for _, e := range w.engines {
						e.set(func() { e.reports, e.stager, e.full = c.reports, c.stager, c.full })
						e.standStill(length)
					}
					time.Sleep(length)
					for _, e := range w.engines {
						e.set(func() { e.reports, e.stager = true, stagerGrants })
					}
					w.checkKept(all...)
				})
			})
		}
	}
}

// stallOnce makes the first engine stand still after the caller's event at, until continues after
// another engine's stager is asked or gets the request, or for 2.9 s if neither happens.
func (w *scriptedWorld) stallOnce(at int, continues time.Duration, happens func()) (c *streamCaller) {
	own := w.engines[0]
	c = w.ask(0, "s", 12, 7*time.Second)
	stalled := make(chan struct{})
	c.mu.Lock()
	c.onBody = func(n int) {
		if n == at {
			own.standStill(2900 * time.Millisecond)
			close(stalled)
		}
	}
	c.mu.Unlock()
	<-stalled
	for _, e := range w.engines[1:] {
		wake := func() {
			own.set(func() {
				if until := time.Now().Add(continues); until.Before(own.stillUntil) {
					own.stillUntil = until
				}
			})
			if happens != nil {
				happens()
			}
		}
		e.set(func() { e.onAsked, e.onRequest = wake, wake })
	}
	return c
}

// fill makes all engines refuse further requests.
func (w *scriptedWorld) fill() {
	for _, e := range w.engines {
		e.set(func() { e.full = true })
	}
}

// Guards against a stream moved on a grant, or on no answer, to an engine that then refuses it: its
// own engine continues 100 ms later but has no slot for it any more.
func TestStalledStreamIsKeptIfTheNextEngineRefuses(t *testing.T) {
	for name, mode := range map[string]stagerMode{"granted": stagerGrants, "no answer": stagerUnanswering} {
		t.Run(name, func(t *testing.T) {
			runScripted(t, "a", "ab", func(w *scriptedWorld) {
				w.engines[1].set(func() { w.engines[1].stager = mode })
				c := w.stallOnce(5, 100*time.Millisecond, nil)
				w.fill()
				w.checkKept(c)
			})
		})
	}
}

// Guards against a stream that is moved although it returns to its own engine afterwards: a retry
// and a repeated prompt for nothing.
func TestStalledStreamIsNotMovedAndReturned(t *testing.T) {
	runScripted(t, "a", "ab", func(w *scriptedWorld) {
		c := w.stallOnce(5, 100*time.Millisecond, nil)
		w.engines[1].set(func() { w.engines[1].full = true })
		w.checkKept(c)
	})
}

// Guards against a stream moved to an engine whose stager did not answer, where the version expires
// before the stream begins.
func TestStalledStreamIsKeptIfTheNextVersionExpiresFirst(t *testing.T) {
	for name, mode := range map[string]stagerMode{"granted": stagerGrants, "no answer": stagerUnanswering} {
		t.Run(name, func(t *testing.T) {
			runScripted(t, "a", "ab", func(w *scriptedWorld) {
				w.engines[1].set(func() { w.engines[1].stager, w.engines[1].firstEvent = mode, 2500*time.Millisecond })
				c := w.stallOnce(5, 100*time.Millisecond, nil)
				w.nameVersion(4 * time.Second)
				w.engines[0].set(func() { w.engines[0].full = true })
				w.checkKept(c)
			})
		})
	}
}

// Guards against a stream that lets go of its engine for a candidate that is gone a moment later.
func TestStalledStreamIsKeptIfTheNextEngineIsGone(t *testing.T) {
	for name, happens := range map[string]func(w *scriptedWorld, e *scriptedEngine){
		"draining":        func(w *scriptedWorld, e *scriptedEngine) { w.register(w.gateways[0], e, registry.Draining) },
		"version expires": func(w *scriptedWorld, _ *scriptedEngine) { w.nameVersion(300 * time.Millisecond) },
		"order under way": func(w *scriptedWorld, e *scriptedEngine) {
			e.set(func() { e.order = true })
			w.reportLoad(e)
		},
	} {
		for stager, mode := range map[string]stagerMode{"granted": stagerGrants, "no answer": stagerUnanswering} {
			t.Run(name+", "+stager, func(t *testing.T) {
				runScripted(t, "a", "ab", func(w *scriptedWorld) {
					e := w.engines[1]
					e.set(func() { e.stager = mode })
					c := w.stallOnce(5, 100*time.Millisecond, func() {
						e.set(func() { e.onAsked, e.onRequest, e.full = nil, nil, true })
						happens(w, e)
					})
					w.engines[0].set(func() { w.engines[0].full = true })
					w.checkKept(c)
				})
			})
		}
	}
}

// Guards against a stream moved when its caller leaves before any other engine can begin it.
func TestStalledStreamIsKeptIfItsCallerLeavesSoon(t *testing.T) {
	for _, left := range []time.Duration{300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(left.String(), func(t *testing.T) {
			runScripted(t, "a", "ab", func(w *scriptedWorld) {
				own, other := w.engines[0], w.engines[1]
				own.set(func() { own.gap, own.reports = 100*time.Millisecond, false })
				other.set(func() { other.firstEvent = 600 * time.Millisecond })
				// Without reports for 1 s the limit is maxEventGap, checked at multiples of watchdogInterval.
				const moves = 4 * watchdogInterval
				c := w.ask(0, "s", 9, moves+left)
				w.sleepUntil(moves - maxEventGap - 100*time.Millisecond)
				own.standStill(maxEventGap + 150*time.Millisecond)
				w.checkKept(c)
			})
		})
	}
}
