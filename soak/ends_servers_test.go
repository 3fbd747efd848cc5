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
	crashingBody = "a request that ends its server"
	popularBody  = "what everybody asks"
	// crashDelay is how long a server lives after it has begun the request that ends it,
	// and endedFor how long it is gone.
	crashDelay    = 60 * time.Millisecond
	crashDowntime = 3 * time.Second
	// crashingRequestPause lies between two tries of the request that ends servers.
	crashingRequestPause = 500 * time.Millisecond
	// quarantineReason is what a refusal of such a request names.
	quarantineReason = "ends_servers"
	// maxCrashes is how many servers it may end in all: three, and three more.
	maxCrashes = 6
)

// crashRun sends a request that ends servers beside other work.
type crashRun struct {
	cluster  *cluster
	kind     standin.Kind
	random   *rand.Rand // of the tries that end servers
	attempts int

	background sync.WaitGroup
	mu         sync.Mutex
	total      map[string]int // requests beside it, by what they are
	complete   map[string]int // those of them that were answered whole
}

func newCrashRun(cl *cluster, kind standin.Kind, seed uint64) *crashRun {
	return &crashRun{
		cluster: cl, kind: kind, random: rand.New(rand.NewPCG(seed, 1)),
		total: map[string]int{}, complete: map[string]int{},
	}
}

// attempt sends one try to a gateway and tells whether it was kept away from servers.
func (r *crashRun) attempt(t *testing.T, gateway int) bool {
	r.attempts++
	c := standin.Caller{Gateway: func(int) string { return r.cluster.address(gatewayVMs, gateway, callersPort) }}
	a := c.DoOnce(t.Context(), sized(standin.Request{ID: fmt.Sprintf("ending-%d", r.attempts), Kind: r.kind, Body: crashingBody, Timeout: longDeadline}), r.attempts)
	return strings.Contains(a.Attempts[0].Reason, quarantineReason)
}

// sized fills in the size of a request, which engines go by.
func sized(a standin.Request) standin.Request {
	a.Prompt, a.Tokens, a.Stride = minPrompt, minTokens, engineFigures.Stride
	return a
}

// sendBackground sends requests of a kind and body one after the other until the context ends.
// Those that were begun by then are waited for.
func (r *crashRun) sendBackground(ctx context.Context, name string, kind standin.Kind, body string, within time.Duration, random *rand.Rand) {
	r.background.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			first := random.IntN(r.cluster.config.gateways)
			c := standin.Caller{Gateway: func(try int) string {
				return r.cluster.address(gatewayVMs, (first+try)%r.cluster.config.gateways, callersPort)
			}}
			ask := sized(standin.Request{ID: fmt.Sprintf("%s-%d-%d", name, random.Uint32(), n), Kind: kind, Body: body, Timeout: within})
			a := c.Do(context.WithoutCancel(ctx), ask)
			r.mu.Lock()
			r.total[name]++
			if a.Complete && a.Mismatch == "" {
				r.complete[name]++
			}
			r.mu.Unlock()
		}
	})
}

// crashCount is how many servers the request ended.
func (cl *cluster) crashCount() (count int) {
	for _, s := range cl.crashing {
		count += len(s.CrashedBy())
	}
	return count
}

// failDomain ends all servers of a failure domain at one moment.
func (cl *cluster) failDomain(domain int) {
	for i, s := range cl.crashing {
		if i%failureDomains == domain {
			s.Crash()
		}
	}
}

// crashClusterConfig is a world of servers that end, for runs in CI.
var crashClusterConfig = clusterConfig{control: 3, gateways: 3, crashing: 9, plainServiceTime: 20 * time.Millisecond, rolloutDeadline: longDeadline}

func TestRequestThatCrashesServers(t *testing.T) {
	for _, same := range []bool{false, true} {
		t.Run(fmt.Sprintf("same instance %t", same), func(t *testing.T) {
			s := crashClusterConfig
			s.sameInstance = same
			testRequestThatCrashesServers(t, startCluster(t, s, logFolder(t)))
		})
	}
}

// Engines end too, and start again without weights: their stagers have them go on. Streams
// beside go on elsewhere, behind the last event that their callers have.
func TestRequestThatCrashesEngines(t *testing.T) {
	for _, same := range []bool{false, true} {
		t.Run(fmt.Sprintf("same instance %t", same), func(t *testing.T) {
			cl := startCluster(t, clusterConfig{
				control: 3, gateways: 3, plain: 1, plainServiceTime: crashClusterConfig.plainServiceTime, crashingEngines: 9, rolloutDeadline: longDeadline, sameInstance: same,
			}, logFolder(t))
			r := newCrashRun(cl, standin.Stream, seed(t))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for i := range 3 {
				r.sendBackground(ctx, "stream", standin.Stream, "", longDeadline, rand.New(rand.NewPCG(seed(t), uint64(i))))
			}
			r.untilAllRefuse(t)
			if n := cl.crashCount(); n < 3 || n > maxCrashes {
				t.Errorf("one request ended %d engines in %d tries; %d may end", n, r.attempts, maxCrashes)
			}
			cancel()
			r.background.Wait()
			if r.total["stream"] == 0 || r.complete["stream"] < r.total["stream"] {
				t.Errorf("%d of %d streams were answered whole", r.complete["stream"], r.total["stream"])
			}
			cl.awaitWeightsServed()
		})
	}
}

// awaitWeightsServed waits until all engines that end serve the weights.
func (cl *cluster) awaitWeightsServed() {
	cl.t.Helper()
	const look = 20 * time.Millisecond
	for _, s := range cl.crashing {
		for s.ServedVersion() != standin.FirstVersion {
			select {
			case <-cl.t.Context().Done():
				cl.t.Fatal("an engine that started again serves nothing")
			case <-time.After(look):
			}
		}
	}
}

func testRequestThatCrashesServers(t *testing.T, cl *cluster) {
	r := newCrashRun(cl, standin.Safe, seed(t))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 3 {
		random := func(n int) *rand.Rand { return rand.New(rand.NewPCG(seed(t), uint64(10*i+n))) }
		r.sendBackground(ctx, "popular", standin.Safe, popularBody, longDeadline, random(1))
		r.sendBackground(ctx, "safe", standin.Safe, "", longDeadline, random(2))
		r.sendBackground(ctx, "unsafe", standin.Unsafe, "", longDeadline, random(3))
	}
	cl.failDomain(0)
	r.untilAllRefuse(t)
	cl.failDomain(1)
	if n := cl.crashCount(); n < 3 || n > maxCrashes {
		t.Errorf("one request ended %d servers in %d tries; %d may end", n, r.attempts, maxCrashes)
	}

	// Who starts anew, and who loses its control node, keeps it away as well.
	before := cl.crashCount()
	cl.programs.stop(nameOf("gateway", 1), syscall.SIGTERM)
	cl.programs.stop(nameOf("control", 0), syscall.SIGKILL)
	cl.programs.restart(nameOf("gateway", 1))
	cl.awaitServing(1)
	for i := range 3 * cl.config.gateways {
		if !r.attempt(t, i%cl.config.gateways) {
			t.Errorf("gateway %d sent it to a server", i%cl.config.gateways+1)
		}
	}
	if n := cl.crashCount(); n > before {
		t.Errorf("it ended %d more servers after all gateways kept it away", n-before)
	}
	cl.programs.restart(nameOf("control", 0))
	cancel()
	r.background.Wait()
	for _, name := range []string{"popular", "safe"} {
		if r.total[name] == 0 || r.complete[name] < r.total[name] {
			t.Errorf("%d of %d %s requests were answered whole", r.complete[name], r.total[name], name)
		}
	}
}

// untilAllRefuse sends tries to one gateway after the other until each keeps the
// request away, or it has ended more servers than it may.
func (r *crashRun) untilAllRefuse(t *testing.T) {
	const most = 60
	kept := map[int]bool{}
	for range most {
		gateway := r.random.IntN(r.cluster.config.gateways)
		if r.attempt(t, gateway) {
			kept[gateway] = true
		}
		if len(kept) == r.cluster.config.gateways || r.cluster.crashCount() > maxCrashes {
			return
		}
		time.Sleep(crashingRequestPause)
	}
	t.Errorf("after %d tries %d of %d gateways keep it away", most, len(kept), r.cluster.config.gateways)
}
