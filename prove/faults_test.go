// ================================================================
// The faults that scenarios draw from.
// ================================================================

package prove

import "time"

// note counts a fault.
func (w *world) note() { w.faults++ }

// killAgentFor kills an agent, and starts it again after a while.
func (w *world) killAgentFor(name string, d time.Duration) { w.killFor(name, d, w.startAgent) }

// killEntryFor kills an entry, and starts it again after a while.
func (w *world) killEntryFor(name string, d time.Duration) { w.killFor(name, d, w.startEntry) }

func (w *world) killFor(name string, d time.Duration, start func(name string)) {
	if !w.up(name) {
		return
	}
	w.note()
	w.kill(name)
	time.Sleep(d)
	start(name)
}

// cutFor cuts the link between two hosts without a word.
func (w *world) cutFor(a, b string, d time.Duration) {
	w.note()
	w.network.SetCut(a, b, true)
	time.Sleep(d)
	w.network.SetCut(a, b, false)
}

// isolateFor cuts a host off from all entries and agents.
func (w *world) isolateFor(name string, d time.Duration) {
	w.note()
	w.isolate(name, true)
	time.Sleep(d)
	w.isolate(name, false)
}

func (w *world) isolate(name string, cut bool) {
	for other := range entryPlaces {
		if other != name {
			w.network.SetCut(name, other, cut)
		}
	}
	for other := range agentPlaces {
		if other != name {
			w.network.SetCut(name, other, cut)
		}
	}
}

// millis returns a random time up to most.
func (w *world) millis(most int) time.Duration {
	return time.Duration(1+w.random.IntN(most)) * time.Millisecond
}
