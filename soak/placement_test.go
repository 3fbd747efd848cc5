// ================================================================
// Restricted regions and evacuations with the real programs, while gateways and control nodes are killed.
// Guards against requests at servers of other regions or of evacuated failure domains, on whichever of the
// ways through gateways that start, retry and resume.
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
	// evacuationDeadline is the time after its acknowledgement from which an evacuation must be in force.
	evacuationDeadline = 5 * time.Second
	// restrictedShare is the share of requests on routes that allow one region only.
	restrictedShare = 0.4
	// evacuationRounds is how often a failure domain is evacuated.
	evacuationRounds = 3
)

// evacuation is a span in which a failure domain must receive no requests.
type evacuation struct {
	domain   string
	from, to time.Time
}

// TestPlacementHoldsWhileProgramsAreKilled evacuates random failure domains while random gateways and control
// nodes are killed, and checks where each request arrived.
func TestPlacementHoldsWhileProgramsAreKilled(t *testing.T) {
	cl := startCluster(t, clusterConfig{control: 3, gateways: 3, engines: 3, plain: 3, plainServiceTime: plainServiceTime, rolloutDeadline: longDeadline}, logFolder(t))
	cl.must(cl.operator.Reconfigure(t.Context(), engineFigures, standin.ConfigurationChange{Version: 2, AllowedRegions: []string{"region-b"}}))
	time.Sleep(evacuationDeadline)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	random := rand.New(rand.NewPCG(seed(t), 3))
	l := newLoad(cl, seed(t), longDeadline)
	var background sync.WaitGroup
	background.Go(func() { cl.sendRestricted(ctx, l) })
	kills := 0
	background.Go(func() { kills = cl.killAtRandom(ctx, rand.New(rand.NewPCG(seed(t), 4))) })
	var spans []evacuation
	for range evacuationRounds {
		spans = append(spans, cl.evacuateForAWhile(random))
	}
	cancel()
	background.Wait()
	l.inFlight.Wait()
	cl.checkPlacement(spans)
	v := cl.countResults(l.finished())
	fmt.Printf("placement: seed %d: %d kills, %d of %d requests complete, %d arrivals\n", seed(t), kills, v.complete, v.all, len(cl.runLog.Arrivals()))
	if v.complete < v.all/2 {
		t.Errorf("%d of %d requests were answered completely", v.complete, v.all)
	}
}

// sendRestricted sends requests until the context ends, some of them on restricted routes.
func (cl *cluster) sendRestricted(ctx context.Context, l *load) {
	for ctx.Err() == nil {
		r, gateway, keepAlive := l.draw()
		if r.Restricted = l.random.Float64() < restrictedShare; r.Restricted {
			r.ID = "restricted-" + r.ID
		}
		l.start(context.WithoutCancel(ctx), r, gateway, keepAlive)
		time.Sleep(l.interval())
	}
}

// killAtRandom kills gateways and control nodes, one after the other, and starts each again. It returns how
// many.
func (cl *cluster) killAtRandom(ctx context.Context, random *rand.Rand) (kills int) {
	for {
		select {
		case <-ctx.Done():
			return kills
		case <-time.After(time.Duration(random.Int64N(int64(3 * time.Second)))):
		}
		name := nameOf("gateway", random.IntN(cl.config.gateways))
		if random.IntN(2) == 0 {
			name = nameOf("control", random.IntN(cl.config.control))
		}
		cl.programs.stop(name, syscall.SIGKILL)
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
		cl.programs.restart(name)
		kills++
	}
}

// evacuateForAWhile evacuates a random failure domain, and another one at the same time in half of the
// cases, and returns the span in which the first must have received nothing.
func (cl *cluster) evacuateForAWhile(random *rand.Rand) evacuation {
	first := random.IntN(failureDomains)
	e := evacuation{domain: failureDomain(first)}
	other := failureDomain(first + 1)
	cl.must(cl.operator.SetEvacuated(cl.t.Context(), e.domain, true))
	e.from = time.Now().Add(evacuationDeadline)
	both := random.IntN(2) == 0
	if both {
		cl.must(cl.operator.SetEvacuated(cl.t.Context(), other, true))
	}
	time.Sleep(evacuationDeadline + 2*time.Second)
	if both {
		cl.must(cl.operator.SetEvacuated(cl.t.Context(), other, false))
	}
	e.to = time.Now()
	cl.must(cl.operator.SetEvacuated(cl.t.Context(), e.domain, false))
	return e
}

// checkPlacement reports each request at a server that must not have received it.
func (cl *cluster) checkPlacement(spans []evacuation) {
	for _, a := range cl.runLog.Arrivals() {
		domain := cl.domainOf(a.Instance)
		if strings.HasPrefix(a.ID, "restricted-") && domain != "hall-b" {
			cl.t.Errorf("request %s arrived at %s in %s", a.ID, a.Instance, domain)
		}
		for _, e := range spans {
			if domain == e.domain && a.At.After(e.from) && a.At.Before(e.to) {
				cl.t.Errorf("request %s arrived at %s %s after %s was evacuated", a.ID, a.Instance, a.At.Sub(e.from)+evacuationDeadline, domain)
			}
		}
	}
}

// domainOf returns the failure domain of an engine or plain server.
func (cl *cluster) domainOf(instance string) string {
	for i, e := range cl.engines {
		if e.Instance == instance {
			return failureDomain(i)
		}
	}
	for i, s := range cl.plain {
		if s.Instance == instance {
			return failureDomain(i)
		}
	}
	return ""
}

// resultCounts counts requests and those that were answered completely.
type resultCounts struct{ all, complete int }

func (cl *cluster) countResults(results []standin.Result) (counts resultCounts) {
	for _, r := range results {
		counts.all++
		if r.Complete {
			counts.complete++
		}
		if r.Mismatch != "" {
			cl.t.Error(r.Mismatch)
		}
	}
	return counts
}
