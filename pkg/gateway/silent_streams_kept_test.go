package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against streams whose connections are taken for silent while all engines stand still: they
// lose their slots, and find the engines full.
func TestSilentStreamsAreKeptWhileAllEnginesStandStill(t *testing.T) {
	for name, full := range map[string]bool{"free": false, "full": true} {
		for _, length := range []time.Duration{1900 * time.Millisecond, 2100 * time.Millisecond, 2400 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, length), func(t *testing.T) {
				runScripted(t, "a", "aaa", func(w *scriptedWorld) {
					var all []*streamCaller
					for i := range 9 {
						for j, e := range w.engines {
							e.set(func() { e.stager = stagerRefuses })
							if j == i%3 {
								e.set(func() { e.stager = stagerGrants })
							}
						}
						all = append(all, w.ask(0, fmt.Sprintf("s-%d", i), 15, 8*time.Second))
						time.Sleep(30 * time.Millisecond)
					}
					w.sleepUntil(1500 * time.Millisecond)
					if full {
						w.fill()
					}
					for _, e := range w.engines {
						e.set(func() { e.stager = stagerRefuses })
						e.standStill(length)
					}
					time.Sleep(length)
					for _, e := range w.engines {
						e.set(func() { e.stager = stagerGrants })
					}
					w.checkKept(all...)
				})
			})
		}
	}
}
