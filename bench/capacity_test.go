//go:build bench

// ================================================================
// Measures for docs/CAPACITY.md how the bytes, processor time and live heap of
// each role grow with the number of agents, replicas, objects, chunks and claims.
// ================================================================

package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/claim"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/membership"
	"github.com/tidepost/tidepost/pkg/route"
	"github.com/tidepost/tidepost/pkg/spread"
	"github.com/tidepost/tidepost/pkg/vm"
)

func identityOf(i int) vm.Identity {
	return vm.NewIdentity(vm.ID(fmt.Sprintf("larder-%04d", i)), uint64(i)<<40+1, "scotland", "scotland-a", fmt.Sprintf("10.12.%d.%d:7001", i/250, i%250))
}

func heartbeatOf(i int, sequence uint64, copies int) contract.Heartbeat {
	var list []contract.Copy
	for c := range copies {
		list = append(list, contract.NewCopy("menu", contract.DigestOf([]byte{byte(c)}), contract.PhaseReady, 256, 256))
	}
	return contract.NewHeartbeat(identityOf(i), sequence, 4711, vm.Labels{"purpose": "menu", "accelerator": "large"},
		list, nil, contract.NewLoad(12, 3, 0.5, 900, 64), false, 1<<30, 1<<34)
}

func encode(v any) []byte {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

func TestCapacityHeartbeats(t *testing.T) {
	var sizes []point
	for _, copies := range []int{1, 2, 4} {
		sizes = append(sizes, point{float64(copies), float64(len(encode(heartbeatOf(1, 1, copies))) + frameOverhead)})
	}
	fitLine("heartbeat_size", "copy", "B", sizes)

	var heap, received, candidates []point
	for _, n := range []int{35, 138, 550, 2200} {
		view := membership.NewView(6 * time.Second)
		heap = append(heap, point{float64(n), float64(heapOf(func() any {
			for i := range n {
				view.RecordHeartbeat(heartbeatOf(i, 1, 1), time.Now())
			}
			return view
		})) / 1024})
		payloads := make([][]byte, n)
		for i := range n {
			payloads[i] = encode(heartbeatOf(i, 2, 1))
		}
		received = append(received, point{float64(n), microseconds(perCall(func() {
			for _, raw := range payloads {
				var b contract.Heartbeat
				if err := msgpack.Unmarshal(raw, &b); err != nil {
					panic(err)
				}
				view.RecordHeartbeat(b, time.Now())
			}
		}))})
		candidates = append(candidates, point{float64(n), microseconds(perCall(func() { view.Usable(time.Now()) }))})
	}
	fitLine("entry_heap", "agent", "KiB", heap)
	fitLine("entry_round_of_heartbeats", "agent", "us", received)
	fitLine("entry_candidates_of_a_request", "agent", "us", candidates)
}

func TestCapacityRouting(t *testing.T) {
	var points []point
	for _, n := range []int{12, 46, 138} {
		router := route.NewRouter(route.DefaultName, 1)
		var replicas []*route.Replica
		for i := range n {
			replicas = append(replicas, route.NewReplica(identityOf(i).ID(), time.Now().Add(-time.Hour)))
		}
		points = append(points, point{float64(n), microseconds(perCall(func() { router.Pick(replicas, "3f2a91c0", time.Now()) }))})
	}
	fitLine("entry_choice_of_a_replica", "replica", "us", points)
}

// newConfiguration returns a configuration state with so many label objects.
func newConfiguration(labels int) *configstate.State {
	s := configstate.NewState()
	var objects []contract.Object
	add := func(kind contract.ObjectKind, name string, body any) {
		o, err := contract.EncodeObject(kind, name, body)
		if err != nil {
			panic(err)
		}
		objects = append(objects, o)
	}
	for i := range labels {
		add(contract.KindLabels, string(identityOf(i).ID()), contract.NewLabelSet(vm.Labels{"purpose": "menu"}, nil))
	}
	s.ApplyChange(contract.NewChange("all", "ann", 0, objects, contract.Digest{}))
	return s
}

func TestCapacityConfiguration(t *testing.T) {
	var heap, change, size []point
	for _, n := range []int{220, 1100, 2200, 4400} {
		heap = append(heap, point{float64(n), float64(heapOf(func() any { return newConfiguration(n) })) / 1024})
		s := newConfiguration(n)
		i := 0
		change = append(change, point{float64(n), microseconds(perCall(func() {
			i++
			o, err := contract.EncodeObject(contract.KindLabels, "larder-0001", contract.NewLabelSet(vm.Labels{"purpose": fmt.Sprint(i)}, nil))
			if err != nil {
				panic(err)
			}
			s.ApplyChange(contract.NewChange(fmt.Sprint("change-", i), "ann", s.Revision(), []contract.Object{o}, contract.Digest{}))
		}))})
		full, _ := s.Since(0)
		size = append(size, point{float64(n), float64(len(encode(full))) / 1024})
	}
	fitLine("config_heap", "object", "KiB", heap)
	fitLine("config_one_change", "object", "us", change)
	fitLine("config_full_copy", "object", "KiB", size)
}

func TestCapacityCoordinator(t *testing.T) {
	var report, heap, bytes []point
	for _, n := range []int{28, 138, 440} {
		now := time.Now()
		c := spread.NewCoordinator(spread.CoordinatorConfig{
			Domain: "scotland-a", Digest: digest, Total: chunks, Random: rand.New(rand.NewPCG(1, 1)),
		}, now.Add(-time.Minute))
		held := spread.NewBitmap(chunks)
		for i := range chunks / 2 {
			held.Add(i)
		}
		heap = append(heap, point{float64(n), float64(heapOf(func() any {
			for i := range n {
				c.Report(contract.NewSpreadReport(identityOf(i), digest, held.Bytes(), nil, true, 0), now)
			}
			return c
		})) / 1024})
		i := 0
		var plan contract.SpreadPlan
		report = append(report, point{float64(n), microseconds(perCall(func() {
			i++
			plan = c.Report(contract.NewSpreadReport(identityOf(i%n), digest, held.Bytes(), nil, true, 0), now)
		}))})
		bytes = append(bytes, point{float64(n), float64(len(encode(plan)) + frameOverhead)})
	}
	fitLine("coordinator_heap", "agent", "KiB", heap)
	fitLine("coordinator_one_report", "agent", "us", report)
	fitLine("coordinator_one_plan", "agent", "B", bytes)
}

func TestCapacitySwarm(t *testing.T) {
	var next, heap []point
	for _, total := range []int{256, 1024, 4096} {
		build := func() *spread.Swarm {
			s := spread.NewSwarm(spread.SwarmConfig{Total: total, Random: rand.New(rand.NewPCG(1, 1))}, spread.NewBitmap(total))
			var ids []vm.Identity
			for i := range spread.DefaultNeighbours {
				ids = append(ids, identityOf(i))
			}
			s.SetNeighbours(ids)
			for _, id := range ids {
				for i := range total {
					if rand.IntN(2) == 0 {
						s.PeerHasChunk(id.ID(), i)
					}
				}
			}
			return s
		}
		heap = append(heap, point{float64(total), float64(heapOf(func() any { return build() })) / 1024})
		s := build()
		now := time.Now()
		next = append(next, point{float64(total), microseconds(perCall(func() {
			for _, f := range s.Next(now) {
				s.FetchFailed(f.Chunk, f.Peer.ID(), "", now)
				now = now.Add(time.Minute)
			}
		}))})
	}
	fitLine("agent_swarm_heap", "chunk", "KiB", heap)
	fitLine("agent_round_of_choices", "chunk", "us", next)
}

func TestCapacityClaims(t *testing.T) {
	var heap []point
	for _, n := range []int{1000, 10000, 50000} {
		heap = append(heap, point{float64(n), float64(heapOf(func() any {
			table := claim.NewTable()
			for i := range n {
				table.Acquire(contract.NewClaim("larder", fmt.Sprint("order-", i), fmt.Sprint("entry-1/", i), digest, 1<<62-1e18), 1)
			}
			return table
		})) / 1024})
	}
	fitLine("voter_heap", "claim", "KiB", heap)
}
