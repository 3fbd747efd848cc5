// ================================================================
// What was seen: one request ended each server that ran it, came again at any gateway,
// and nothing stopped it; two fifths of all other work were lost with it. How it comes
// about: pkg/gateway's test of the same name has the ways, one by one. What caused it: no
// gateway remembered anything of a request, nor told the others. Here the real programs
// run beside popular work, racks that fail and gateways that restart. What proved it
// stands in docs/incidents/.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	endingBody  = "a request that ends its server"
	popularBody = "what everybody asks"
	// endsAfter is how long a server lives after it has begun the request that ends it,
	// and endedFor how long it is gone.
	endsAfter = 60 * time.Millisecond
	endedFor  = 3 * time.Second
	// endingPause lies between two tries of the request that ends servers.
	endingPause = 500 * time.Millisecond
	// keptAway is what a refusal of such a request names.
	keptAway = "ends_servers"
	// mostEnds is how many servers it may end in all: three, and three more.
	mostEnds = 6
)

// endingRun sends a request that ends servers beside other work.
type endingRun struct {
	world  *world
	kind   standin.Kind
	random *rand.Rand // of the tries that end servers
	tries  int

	under sync.WaitGroup
	mu    sync.Mutex
	done  map[string]int // requests beside it, by what they are
	whole map[string]int // those of them that were answered whole
}

func newEndingRun(w *world, kind standin.Kind, seed uint64) *endingRun {
	return &endingRun{
		world: w, kind: kind, random: rand.New(rand.NewPCG(seed, 1)),
		done: map[string]int{}, whole: map[string]int{},
	}
}

// try sends one try to a gateway and tells whether it was kept away from servers.
func (r *endingRun) try(t *testing.T, gateway int) bool {
	r.tries++
	c := standin.Caller{Gateway: func(int) string { return r.world.at(gatewayVMs, gateway, callersPort) }}
	a := c.DoOnce(t.Context(), sized(standin.Request{ID: fmt.Sprintf("ending-%d", r.tries), Kind: r.kind, Body: endingBody, Timeout: longWithin}), r.tries)
	return strings.Contains(a.Attempts[0].Reason, keptAway)
}

// sized fills in the size of a request, which engines go by.
func sized(a standin.Request) standin.Request {
	a.Prompt, a.Tokens, a.Stride = leastPrompt, leastTokens, figures.Stride
	return a
}

// beside sends requests of a kind and body one after the other until the context ends.
// Those that were begun by then are waited for.
func (r *endingRun) beside(ctx context.Context, name string, kind standin.Kind, body string, within time.Duration, random *rand.Rand) {
	r.under.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			first := random.IntN(r.world.size.gateways)
			c := standin.Caller{Gateway: func(try int) string {
				return r.world.at(gatewayVMs, (first+try)%r.world.size.gateways, callersPort)
			}}
			ask := sized(standin.Request{ID: fmt.Sprintf("%s-%d-%d", name, random.Uint32(), n), Kind: kind, Body: body, Timeout: within})
			a := c.Do(context.WithoutCancel(ctx), ask)
			r.mu.Lock()
			r.done[name]++
			if a.Complete && a.Mismatch == "" {
				r.whole[name]++
			}
			r.mu.Unlock()
		}
	})
}

// ends is how many servers the request ended.
func (w *world) ends() (count int) {
	for _, s := range w.ending {
		count += len(s.CrashedBy())
	}
	return count
}

// failRack ends all servers of a failure domain at one moment.
func (w *world) failRack(domain int) {
	for i, s := range w.ending {
		if i%zones == domain {
			s.Crash()
		}
	}
}

// mortal is a world of servers that end, for runs in CI.
var mortal = size{control: 3, gateways: 3, ending: 9, plainTakes: 20 * time.Millisecond, within: longWithin}

func TestRequestThatEndsServers(t *testing.T) {
	for _, same := range []bool{false, true} {
		t.Run(fmt.Sprintf("same instance %t", same), func(t *testing.T) {
			s := mortal
			s.sameInstance = same
			testRequestThatEndsServers(t, startWorld(t, s, logFolder(t)))
		})
	}
}

// Engines end too, and start again without weights: their stagers have them go on. Streams
// beside go on elsewhere, behind the last event that their callers have.
func TestRequestThatEndsEngines(t *testing.T) {
	for _, same := range []bool{false, true} {
		t.Run(fmt.Sprintf("same instance %t", same), func(t *testing.T) {
			w := startWorld(t, size{
				control: 3, gateways: 3, plain: 1, plainTakes: mortal.plainTakes, endingEngines: 9, within: longWithin, sameInstance: same,
			}, logFolder(t))
			r := newEndingRun(w, standin.Stream, seed(t))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for i := range 3 {
				r.beside(ctx, "stream", standin.Stream, "", longWithin, rand.New(rand.NewPCG(seed(t), uint64(i))))
			}
			r.untilAllKeepItAway(t)
			if n := w.ends(); n < 3 || n > mostEnds {
				t.Errorf("one request ended %d engines in %d tries; %d may end", n, r.tries, mostEnds)
			}
			cancel()
			r.under.Wait()
			if r.done["stream"] == 0 || r.whole["stream"] < r.done["stream"] {
				t.Errorf("%d of %d streams were answered whole", r.whole["stream"], r.done["stream"])
			}
			w.awaitWeights()
		})
	}
}

// awaitWeights waits until all engines that end serve the weights.
func (w *world) awaitWeights() {
	w.t.Helper()
	const look = 20 * time.Millisecond
	for _, s := range w.ending {
		for s.ServedVersion() != standin.FirstVersion {
			select {
			case <-w.t.Context().Done():
				w.t.Fatal("an engine that started again serves nothing")
			case <-time.After(look):
			}
		}
	}
}

func testRequestThatEndsServers(t *testing.T, w *world) {
	r := newEndingRun(w, standin.Safe, seed(t))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 3 {
		random := func(n int) *rand.Rand { return rand.New(rand.NewPCG(seed(t), uint64(10*i+n))) }
		r.beside(ctx, "popular", standin.Safe, popularBody, longWithin, random(1))
		r.beside(ctx, "safe", standin.Safe, "", longWithin, random(2))
		r.beside(ctx, "unsafe", standin.Unsafe, "", longWithin, random(3))
	}
	w.failRack(0)
	r.untilAllKeepItAway(t)
	w.failRack(1)
	if n := w.ends(); n < 3 || n > mostEnds {
		t.Errorf("one request ended %d servers in %d tries; %d may end", n, r.tries, mostEnds)
	}

	// Who starts anew, and who loses its control node, keeps it away as well.
	before := w.ends()
	w.programs.stop(nameOf("gateway", 1), syscall.SIGTERM)
	w.programs.stop(nameOf("control", 0), syscall.SIGKILL)
	w.programs.again(nameOf("gateway", 1))
	w.awaitServing(1)
	for i := range 3 * w.size.gateways {
		if !r.try(t, i%w.size.gateways) {
			t.Errorf("gateway %d sent it to a server", i%w.size.gateways+1)
		}
	}
	if n := w.ends(); n > before {
		t.Errorf("it ended %d more servers after all gateways kept it away", n-before)
	}
	w.programs.again(nameOf("control", 0))
	cancel()
	r.under.Wait()
	for _, name := range []string{"popular", "safe"} {
		if r.done[name] == 0 || r.whole[name] < r.done[name] {
			t.Errorf("%d of %d %s requests were answered whole", r.whole[name], r.done[name], name)
		}
	}
}

// untilAllKeepItAway sends tries to one gateway after the other until each keeps the
// request away, or it has ended more servers than it may.
func (r *endingRun) untilAllKeepItAway(t *testing.T) {
	const most = 60
	kept := map[int]bool{}
	for range most {
		gateway := r.random.IntN(r.world.size.gateways)
		if r.try(t, gateway) {
			kept[gateway] = true
		}
		if len(kept) == r.world.size.gateways || r.world.ends() > mostEnds {
			return
		}
		time.Sleep(endingPause)
	}
	t.Errorf("after %d tries %d of %d gateways keep it away", most, len(kept), r.world.size.gateways)
}
