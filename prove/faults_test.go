// ================================================================
// The faults that the scenarios inject.
// ================================================================

package prove

import "time"

// countFault counts an injected fault for the line that the proof prints.
func (cl *cluster) countFault() { cl.faultCount++ }

// killAgentFor kills an agent and starts it again after d.
func (cl *cluster) killAgentFor(name string, d time.Duration) { cl.killFor(name, d, cl.startAgent) }

// killEntryFor kills an entry and starts it again after d.
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

// cutLinkFor holds back all traffic between two hosts for d, without closing their connections.
func (cl *cluster) cutLinkFor(a, b string, d time.Duration) {
	cl.countFault()
	cl.network.SetCut(a, b, true)
	time.Sleep(d)
	cl.network.SetCut(a, b, false)
}

// isolateFor holds back all traffic between a host and all entries and agents for d.
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

// randomMillis returns a random duration of 1 to limit milliseconds.
func (cl *cluster) randomMillis(limit int) time.Duration {
	return time.Duration(1+cl.random.IntN(limit)) * time.Millisecond
}
