// ================================================================
// An entry's view of the agents of its failure domain, made from their
// heartbeats and from the platform's list. Nobody agrees on it: a wrong view
// costs a retry, never a wrong answer, since the agent checks everything again
// at the moment of execution.
//
//	larder-07: heard 0.4 s ago, revision 41, ready menu@3f2a, not leaving
// ================================================================

// Package membership holds who is alive, from heartbeats.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/vm"
)

const shardCount = 16

// Agent is what is known of one agent. It is a copy; changing it changes
// nothing.
type Agent struct {
	LastHeartbeat contract.Heartbeat
	Received      time.Time
	// Leaving says why the agent gets no new work; empty when it does.
	Leaving string
	// FirstSeen is when this life of the VM was first heard of.
	FirstSeen time.Time
}

// Change says what a heartbeat or a check changed.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	Seen
	StartedLeaving
	Lost
)

// shard is a part of the view under its own lock.
type shard struct {
	mu     sync.RWMutex
	agents map[vm.ID]*Agent
}

// View holds the agents of one failure domain.
type View struct {
	shards  [shardCount]*shard
	timeout time.Duration
}

// NewView returns an empty view; an agent that is silent for timeout is lost.
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

// RecordHeartbeat takes a heartbeat in. One that is older than what is known, of the
// same life, is ignored: heartbeats of a new stream may overtake the last ones
// of the old.
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

func leavingReason(b contract.Heartbeat) string {
	if b.Draining() {
		return "the agent drains"
	}
	return ""
}

// MarkLeaving notes that a VM is leaving, from the platform's list or from an
// operator. It holds for this life of the VM.
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

// Expire drops the agents that are silent, and returns them.
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

// Find returns one agent.
func (v *View) Find(id vm.ID) (Agent, bool) {
	s := v.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if a := s.agents[id]; a != nil {
		return *a, true
	}
	return Agent{}, false
}

// Agents returns all agents by name.
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

// Usable returns the agents that may get new work.
func (v *View) Usable(now time.Time) []Agent {
	var usable []Agent
	for _, a := range v.Agents() {
		if a.Leaving == "" && now.Sub(a.Received) <= v.timeout {
			usable = append(usable, a)
		}
	}
	return usable
}

// ReadyDigests returns the digests that the agent serves of a model.
func (a Agent) ReadyDigests(model string) []contract.Digest {
	var digests []contract.Digest
	for _, c := range a.LastHeartbeat.Copies() {
		if c.Model() == model && c.Phase() == contract.PhaseReady {
			digests = append(digests, c.Digest())
		}
	}
	return digests
}

// HasService tells whether the agent fronts a plain service.
func (a Agent) HasService(name string) bool {
	for _, s := range a.LastHeartbeat.Services() {
		if s == name {
			return true
		}
	}
	return false
}
