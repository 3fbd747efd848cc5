// ================================================================
// An entry's view of the agents of its failure domain, from their heartbeats and the
// platform's list of VMs. It needs no consensus: a wrong view costs a retry and never a
// wrong response, since the agent checks everything again when it executes the request.
//
//	larder-07: last heartbeat 0.4 s ago, revision 41, ready menu@3f2a, not leaving
// ================================================================

// Package membership tracks live agents by their heartbeats.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/vm"
)

// shardCount is the number of separately locked parts of a view.
const shardCount = 16

// Agent is the known state of one agent. Callers of View get copies.
type Agent struct {
	// LastHeartbeat is the latest heartbeat, and Received when it arrived.
	LastHeartbeat contract.Heartbeat
	Received      time.Time
	// Leaving is the reason why the agent gets no new work; empty while it gets work.
	Leaving string
	// FirstSeen is when the first heartbeat of this incarnation arrived.
	FirstSeen time.Time
}

// Change is the effect of a heartbeat on the view.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	// Seen means that the agent, or a new incarnation of it, was added.
	Seen
	// StartedLeaving means that the agent has begun to drain.
	StartedLeaving
	// Lost means that the agent sent no heartbeat within the timeout.
	Lost
)

// shard is a part of the view with its own lock.
type shard struct {
	mu     sync.RWMutex
	agents map[vm.ID]*Agent
}

// View holds the agents of one failure domain. It is safe for concurrent use.
type View struct {
	shards  [shardCount]*shard
	timeout time.Duration
}

// NewView returns an empty view. An agent without a heartbeat for timeout is lost.
func NewView(timeout time.Duration) *View {
	v := &View{timeout: timeout}
	for i := range v.shards {
		v.shards[i] = &shard{agents: map[vm.ID]*Agent{}}
	}
	return v
}

func (v *View) shard(id vm.ID) *shard {
	return v.shards[xxhash.Sum64String(string(id))%shardCount]
}

// RecordHeartbeat updates the view from a heartbeat. One of the same incarnation with no
// higher sequence number than the latest is ignored: the first heartbeats of a new stream
// may overtake the last ones of the old stream.
func (v *View) RecordHeartbeat(b contract.Heartbeat, now time.Time) Change {
	s := v.shard(b.From().ID())
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.agents[b.From().ID()]
	if old == nil || !old.LastHeartbeat.From().SameIncarnation(b.From()) {
		a := &Agent{LastHeartbeat: b, Received: now, FirstSeen: now, Leaving: leavingReason(b)}
		s.agents[b.From().ID()] = a
		return Seen
	}
	if b.Sequence() <= old.LastHeartbeat.Sequence() {
		return Unchanged
	}
	old.LastHeartbeat, old.Received = b, now
	if old.Leaving == "" && b.Draining() {
		old.Leaving = leavingReason(b)
		return StartedLeaving
	}
	return Unchanged
}

// leavingReason returns why an agent with this heartbeat gets no new work, or "".
func leavingReason(b contract.Heartbeat) string {
	if b.Draining() {
		return "the agent drains"
	}
	return ""
}

// MarkLeaving records that the platform or an operator removes a VM, and reports whether
// that is new. It applies to the current incarnation of the VM only.
func (v *View) MarkLeaving(id vm.ID, reason string) bool {
	s := v.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.agents[id]
	if a == nil || a.Leaving != "" {
		return false
	}
	a.Leaving = reason
	return true
}

// Expire removes the agents without a heartbeat within the timeout and returns them,
// sorted.
func (v *View) Expire(now time.Time) []vm.ID {
	var lost []vm.ID
	for _, s := range v.shards {
		s.mu.Lock()
		for id, a := range s.agents {
			if now.Sub(a.Received) > v.timeout {
				delete(s.agents, id)
				lost = append(lost, id)
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	return lost
}

// Find returns the agent of a VM.
func (v *View) Find(id vm.ID) (Agent, bool) {
	s := v.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if a := s.agents[id]; a != nil {
		return *a, true
	}
	return Agent{}, false
}

// Agents returns all agents, sorted by VM name.
func (v *View) Agents() []Agent {
	var agents []Agent
	for _, s := range v.shards {
		s.mu.RLock()
		for _, a := range s.agents {
			agents = append(agents, *a)
		}
		s.mu.RUnlock()
	}
	sort.Slice(agents, func(i, j int) bool { return agents[i].LastHeartbeat.From().ID() < agents[j].LastHeartbeat.From().ID() })
	return agents
}

// Usable returns the agents that may get new work, sorted by VM name.
func (v *View) Usable(now time.Time) []Agent {
	var usable []Agent
	for _, a := range v.Agents() {
		if a.Leaving == "" && now.Sub(a.Received) <= v.timeout {
			usable = append(usable, a)
		}
	}
	return usable
}

// ReadyDigests returns the digests of a model that the agent is ready to serve.
func (a Agent) ReadyDigests(model string) []contract.Digest {
	var digests []contract.Digest
	for _, c := range a.LastHeartbeat.Copies() {
		if c.Model() == model && c.Phase() == contract.PhaseReady {
			digests = append(digests, c.Digest())
		}
	}
	return digests
}

// HasService reports whether the agent forwards requests to a plain service.
func (a Agent) HasService(name string) bool {
	for _, s := range a.LastHeartbeat.Services() {
		if s == name {
			return true
		}
	}
	return false
}
