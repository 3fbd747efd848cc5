// ================================================================
// The faults that scenarios draw from.
// ================================================================

package prove

import "time"

// countFault counts a fault.
func (cl *cluster) countFault() { cl.faultCount++ }

// killAgentFor kills an agent, and starts it again after a while.
func (cl *cluster) killAgentFor(name string, d time.Duration) { cl.killFor(name, d, cl.startAgent) }

// killEntryFor kills an entry, and starts it again after a while.
func (cl *cluster) killEntryFor(name string, d time.Duration) { cl.killFor(name, d, cl.startEntry) }

func (cl *cluster) killFor(name string, d time.Duration, start func(name string)) {
	if !cl.isRunning(name) {
		return
	}
	cl.countFault()
	cl.kill(name)
	time.Sleep(d)
	start(name)
}

// cutLinkFor cuts the link between two hosts without a word.
func (cl *cluster) cutLinkFor(a, b string, d time.Duration) {
	cl.countFault()
	cl.network.SetCut(a, b, true)
	time.Sleep(d)
	cl.network.SetCut(a, b, false)
}

// isolateFor cuts a host off from all entries and agents.
func (cl *cluster) isolateFor(name string, d time.Duration) {
	cl.countFault()
	cl.isolate(name, true)
	time.Sleep(d)
	cl.isolate(name, false)
}

func (cl *cluster) isolate(name string, cut bool) {
	for other := range entryLocations {
		if other != name {
			cl.network.SetCut(name, other, cut)
		}
	}
	for other := range agentLocations {
		if other != name {
			cl.network.SetCut(name, other, cut)
		}
	}
}

// randomMillis returns a random time up to most.
func (cl *cluster) randomMillis(limit int) time.Duration {
	return time.Duration(1+cl.random.IntN(limit)) * time.Millisecond
}
