// ================================================================
// Guards against a request that crashes every server that runs it: its callers retry it at
// any gateway. When gateways neither recorded such requests nor shared their records, it was never
// refused, and two fifths of all other work was lost. The real programs run here with a popular request,
// failing racks and restarting gateways beside it; pkg/gateway tests the individual causes.
// The incident is described in docs/incidents/.
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
	crashingBody = "a request that crashes its server"
	popularBody  = "a popular request"
	// crashDelay is the time from the start of the crashing request to the crash of its server.
	// crashDowntime is how long a crashed server stays down.
	crashDelay    = 60 * time.Millisecond
	crashDowntime = 3 * time.Second
	// crashingRequestPause is the pause between two attempts of the crashing request.
	crashingRequestPause = 500 * time.Millisecond
	// quarantineReason is the error kind in the refusal of a crashing request.
	quarantineReason = "ends_servers"
	// maxCrashes is how many servers the request may crash in all: three, after which
	// gateways refuse it, and three more.
	maxCrashes = 6
)

// crashRun sends a request that crashes servers, and other requests in the background.
type crashRun struct {
	cluster  *cluster
	kind     standin.Kind
	random   *rand.Rand // draws the gateways of the crashing request
	attempts int

	background sync.WaitGroup
	mu         sync.Mutex
	total      map[string]int // finished background requests by name
	complete   map[string]int // those of them with a complete response
}

func newCrashRun(cl *cluster, kind standin.Kind, seed uint64) *crashRun {
	return &crashRun{
		cluster: cl, kind: kind, random: rand.New(rand.NewPCG(seed, 1)),
		total: map[string]int{}, complete: map[string]int{},
	}
}

// attempt sends the crashing request to a gateway once and reports whether the gateway
// refused it because it crashes servers.
func (r *crashRun) attempt(t *testing.T, gateway int) bool {
	r.attempts++
	c := standin.Caller{Gateway: func(int) string { return r.cluster.address(gatewayVMs, gateway, callersPort) }}
	a := c.DoOnce(t.Context(), sized(standin.Request{ID: fmt.Sprintf("ending-%d", r.attempts), Kind: r.kind, Body: crashingBody, Timeout: longDeadline}), r.attempts)
	return strings.Contains(a.Attempts[0].Reason, quarantineReason)
}

// sized sets the token counts of a request; engines derive its duration from them.
func sized(a standin.Request) standin.Request {
	a.Prompt, a.Tokens, a.Stride = minPrompt, minTokens, engineFigures.Stride
	return a
}

// sendBackground sends requests of one kind and body one after the other until the context
// ends. A request that has started by then runs to its end.
func (r *crashRun) sendBackground(ctx context.Context, name string, kind standin.Kind, body string, deadline time.Duration, random *rand.Rand) {
	r.background.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			first := random.IntN(r.cluster.config.gateways)
			c := standin.Caller{Gateway: func(number int) string {
				return r.cluster.address(gatewayVMs, (first+number)%r.cluster.config.gateways, callersPort)
			}}
			ask := sized(standin.Request{ID: fmt.Sprintf("%s-%d-%d", name, random.Uint32(), n), Kind: kind, Body: body, Timeout: deadline})
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

// crashCount returns how often the request crashed a server.
func (cl *cluster) crashCount() (count int) {
	for _, s := range cl.crashing {
		count += len(s.CrashedBy())
	}
	return count
}

// failDomain crashes all servers of a failure domain at one moment.
func (cl *cluster) failDomain(domain int) {
	for i, s := range cl.crashing {
		if i%failureDomains == domain {
			s.Crash()
		}
	}
}

// crashClusterConfig is a cluster with crashing servers, for runs in CI.
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

// Engines that crash start again without weights, and their stagers load them again. Other
// streams of a crashed engine resume at another one after the last event that was delivered.
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
				t.Errorf("one request crashed %d engines in %d attempts; at most %d are allowed", n, r.attempts, maxCrashes)
			}
			cancel()
			r.background.Wait()
			if r.total["stream"] == 0 || r.complete["stream"] < r.total["stream"] {
				t.Errorf("%d of %d streams were answered completely", r.complete["stream"], r.total["stream"])
			}
			cl.awaitWeightsServed()
		})
	}
}

// awaitWeightsServed waits until all crashing engines serve the weights.
func (cl *cluster) awaitWeightsServed() {
	cl.t.Helper()
	const pollInterval = 20 * time.Millisecond
	for _, s := range cl.crashing {
		for s.ServedVersion() != standin.FirstVersion {
			select {
			case <-cl.t.Context().Done():
				cl.t.Fatal("a restarted engine serves no version of the weights")
			case <-time.After(pollInterval):
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
		t.Errorf("one request crashed %d servers in %d attempts; at most %d are allowed", n, r.attempts, maxCrashes)
	}

	// A restarted gateway, and gateways that lose a control node, refuse the request as well.
	before := cl.crashCount()
	cl.programs.stop(nameOf("gateway", 1), syscall.SIGTERM)
	cl.programs.stop(nameOf("control", 0), syscall.SIGKILL)
	cl.programs.restart(nameOf("gateway", 1))
	cl.awaitServing(1)
	for i := range 3 * cl.config.gateways {
		if !r.attempt(t, i%cl.config.gateways) {
			t.Errorf("gateway %d sent the crashing request to a server", i%cl.config.gateways+1)
		}
	}
	if n := cl.crashCount(); n > before {
		t.Errorf("the request crashed %d more servers after all gateways refused it", n-before)
	}
	cl.programs.restart(nameOf("control", 0))
	cancel()
	r.background.Wait()
	for _, name := range []string{"popular", "safe"} {
		if r.total[name] == 0 || r.complete[name] < r.total[name] {
			t.Errorf("%d of %d %s requests were answered completely", r.complete[name], r.total[name], name)
		}
	}
}

// untilAllRefuse sends the crashing request to random gateways until each of them refuses it,
// or until it has crashed more servers than allowed.
func (r *crashRun) untilAllRefuse(t *testing.T) {
	const limit = 60
	refusing := map[int]bool{}
	for range limit {
		gateway := r.random.IntN(r.cluster.config.gateways)
		if r.attempt(t, gateway) {
			refusing[gateway] = true
		}
		if len(refusing) == r.cluster.config.gateways || r.cluster.crashCount() > maxCrashes {
			return
		}
		time.Sleep(crashingRequestPause)
	}
	t.Errorf("after %d attempts %d of %d gateways refuse the request", limit, len(refusing), r.cluster.config.gateways)
}
