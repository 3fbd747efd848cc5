// ================================================================
// What must not grow with the number of control nodes. Guards against rules that hold only while each
// failure domain has one node: all followers gathered at the nodes of their settings, and each load crossed
// between two failure domains once for each node there.
// ================================================================

package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
	"github.com/tidepost/tidepost/pkg/registry"
)

// settlingSpan is the time in which the followers of a fleet find their nodes.
const settlingSpan = 15 * time.Second

// streamsPerNode returns the number of streams of gateways and stagers that each node serves.
func (f *fleetSim) streamsPerNode() (counts []int) {
	for _, n := range f.nodes {
		n.publisher.mu.Lock()
		count := 0
		for s := range n.publisher.subscribers {
			if s.hello.role != RoleNode {
				count++
			}
		}
		n.publisher.mu.Unlock()
		counts = append(counts, count)
	}
	return counts
}

// Followers know three nodes from their settings and spread over all of them, each with its primary in its
// own failure domain.
func TestFollowersSpreadOverAllNodes(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := startFleet(t, fleetSize{domains: 3, nodes: 12, gateways: 60, engines: 36})
		defer f.stop()
		time.Sleep(settlingSpan)
		f.requireSpread(t)
		// A node that restarts gets its followers back.
		f.stopNode(f.nodes[0])
		time.Sleep(settlingSpan)
		f.startNode(f.nodes[0])
		time.Sleep(2 * settlingSpan)
		f.requireSpread(t)
	})
}

// requireSpread requires that every follower has two streams, and no node more than three times the mean.
func (f *fleetSim) requireSpread(t *testing.T) {
	t.Helper()
	counts := f.streamsPerNode()
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if want := 2 * (f.size.gateways + f.size.engines); sum != want {
		t.Errorf("%d streams of followers, want %d", sum, want)
	}
	for i, n := range counts {
		if n*len(counts) > 3*sum || n == 0 {
			t.Errorf("node %d serves %d of %d streams: %v", i, n, sum, counts)
		}
	}
	for _, g := range f.gateways {
		g.Follower.mu.Lock()
		if p := g.primary; p == nil || p.Peer().Domain() != g.domain {
			t.Errorf("%s has no primary in its failure domain", g.Hello.self.Address())
		}
		g.Follower.mu.Unlock()
	}
}

// A load crosses between two failure domains once, and still reaches every gateway, also after the node that
// relayed it has stopped.
func TestLoadsCrossBetweenDomainsOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := startFleet(t, fleetSize{domains: 3, nodes: 12, gateways: 24, engines: 12})
		defer f.stop()
		time.Sleep(settlingSpan)
		f.requireSingleCrossings(t)
		f.requireFreshLoads(t, f.gateways)
		f.stopNode(f.nodes[1])
		time.Sleep(settlingSpan)
		f.requireFreshLoads(t, f.gateways)
	})
}

// requireSingleCrossings counts the loads that nodes receive from nodes of other failure domains.
func (f *fleetSim) requireSingleCrossings(t *testing.T) {
	const span = 10 * time.Second
	for _, n := range f.nodes {
		n.mu.Lock()
		n.loadsFrom = map[[2]string]int{}
		n.mu.Unlock()
	}
	time.Sleep(span)
	crossings := map[string]int{} // by the failure domains of engine and receiver
	for _, n := range f.nodes {
		n.mu.Lock()
		for route, count := range n.loadsFrom {
			if route[1] != n.identity.Domain() {
				crossings[fmt.Sprint(route[0], " to ", n.identity.Domain())] += count
			}
		}
		n.mu.Unlock()
	}
	reports := float64(f.size.engines/f.size.domains) * span.Seconds() / simLoadInterval.Seconds()
	for route, count := range crossings {
		if float64(count) > 1.2*reports {
			t.Errorf("%s: %d loads, of %.0f that were reported", route, count, reports)
		}
	}
	if len(crossings) != f.size.domains*(f.size.domains-1) {
		t.Errorf("loads crossed between failure domains: %v", crossings)
	}
}

// requireFreshLoads requires that gateways have a recent load of every engine.
func (f *fleetSim) requireFreshLoads(t *testing.T, gateways []*simFollower) {
	t.Helper()
	const maxAge = 2500 * time.Millisecond // as long as gateways use a load
	for _, g := range gateways {
		g.mu.Lock()
		stale := f.size.engines
		for _, at := range g.loads {
			if time.Since(at) < maxAge {
				stale--
			}
		}
		g.mu.Unlock()
		if stale > 0 {
			t.Errorf("%s has no recent load of %d of %d engines", g.Hello.self.Address(), stale, f.size.engines)
		}
	}
}

// Every gateway and stager knows all engines, also one that registers late, and stagers receive each
// registration from one node only.
func TestRegistrationsReachAllFollowers(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := startFleet(t, fleetSize{domains: 3, nodes: 6, gateways: 12, engines: 12})
		defer f.stop()
		time.Sleep(settlingSpan)
		f.engineStarts(t, "e-late")
		time.Sleep(2 * time.Second)
		for _, s := range append(slices.Clone(f.gateways), f.stagers...) {
			s.mu.Lock()
			if want := f.size.engines + 1; len(s.known) != want {
				t.Errorf("%s knows %d of %d engines", s.Hello.self.Address(), len(s.known), want)
			}
			wantCopies := 2
			if s.Hello.role == RoleStager {
				wantCopies = 1
			}
			if got := s.copies["e-late"]; got != wantCopies {
				t.Errorf("%s received the late registration %d times, want %d", s.Hello.self.Address(), got, wantCopies)
			}
			s.mu.Unlock()
		}
	})
}

// engineStarts registers an engine at the last node.
func (f *fleetSim) engineStarts(t *testing.T, incarnation string) {
	n := f.nodes[len(f.nodes)-1]
	r := registry.NewRegistration(incarnation, "hall-0", "10.9.9.9:80", "hall-0", "v1", 8, registry.Ready, 0, nil, 1, 1)
	if !n.table.Receive(r) {
		t.Fatal("the registration is not new")
	}
	n.publisher.QueueRegistrations(r)
}

// While no node has contact with a leader, followers keep their two nodes and don't go through all others
// again and again.
func TestFollowersStayWhileThereIsNoLeader(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := startFleet(t, fleetSize{domains: 3, nodes: 12, gateways: 18, engines: 18})
		defer f.stop()
		time.Sleep(settlingSpan)
		for _, n := range f.nodes {
			n.leaderless.Store(true)
		}
		time.Sleep(settlingSpan) // each node may be tried once
		before := f.countHellos()
		const span = 30 * time.Second
		time.Sleep(span)
		mostOfOne := 2 * int64(span/exploreInterval) // one for each of its two nodes
		if opened := f.countHellos() - before; opened > int64(f.size.gateways+f.size.engines)*mostOfOne {
			t.Errorf("%d followers opened %d streams in %s without a leader", f.size.gateways+f.size.engines, opened, span)
		}
		for _, n := range f.nodes {
			n.leaderless.Store(false)
		}
		time.Sleep(2 * settlingSpan)
		f.requireSpread(t)
	})
}

// countHellos returns how many streams followers and nodes have opened.
func (f *fleetSim) countHellos() (count int64) {
	for _, n := range f.nodes {
		count += n.hellos.Load()
	}
	return count
}
