//go:build bench

// ================================================================
// Whether limits that backend servers name are kept, and used, while gateways are rolled,
// killed, frozen and cut off from each other and control nodes and stagers are killed: some
// engines and plain servers, or all, name a limit, another one, something that is none, and
// nothing again. By hand, since it takes a clock: make limits SEED=1.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// limitsSeconds is how long a run takes; TIDEPOST_SECONDS changes it.
	limitsSeconds = 30
	// limitChangePause is the mean time between two words of a server.
	limitChangePause = 4 * time.Second
	// Mean pauses between two kills, freezes and cuts of gateways, and how long the last two
	// take at the most.
	gatewayKillPause = 1500 * time.Millisecond
	freezePause      = 3 * time.Second
	partitionPause   = 4 * time.Second
	maxFaultTime     = 4 * time.Second
	// minLimitTime is how long a limit has to be named for its use to be counted.
	minLimitTime = 5 * time.Second
	// minMeasuredLimit and mostUsable bound the limits whose use is counted: of a lower one a
	// permit is more than a tenth, and an engine has no work for a higher one.
	minMeasuredLimit, maxMeasuredLimit = 0.9, 5
	// minUsedShare is how much of a limit is to be used where there is work for it.
	minUsedShare = 0.8
)

// limitTexts are what servers say; an empty one ends what was said.
var limitTexts = []string{"1", "1.9", "3", "8", "0.2", "0", "25", "many", "-1", "NaN", "1e400", "", "", ""}

// limitFaultSeries are what is done to gateways beside the other series.
var limitFaultSeries = []struct {
	name  string
	start func(s *faultInjector, ctx context.Context)
}{
	{"fall", (*faultInjector).killGateways},
	{"freeze", (*faultInjector).freezeGateways},
	{"cut", (*faultInjector).partitionGateways},
	{"hush", (*faultInjector).silenceGatewayLinks},
	{"dark", (*faultInjector).killControlNodes},
}

func TestServerLimitsUnderFaults(t *testing.T) {
	cl := startCluster(t, clusterConfig{
		control: 3, gateways: int(envNumber(t, "TIDEPOST_GATEWAYS", 6)), engines: int(envNumber(t, "TIDEPOST_ENGINES", 9)), plain: 6,
		plainServiceTime: 20 * time.Millisecond, rolloutDeadline: longRolloutDeadline, drainNotice: userDrainNotice, retryReserve: 100,
	}, logFolder(t))
	time.Sleep(startupWait)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(envNumber(t, "TIDEPOST_SECONDS", limitsSeconds)*float64(time.Second)))
	defer cancel()
	s := &faultInjector{cluster: cl, random: rand.New(rand.NewPCG(seed(t), 1)), counts: map[string]int{}, slowdown: 1}
	some := cl.limitedServers(os.Getenv("TIDEPOST_ALL") != "")
	steady := os.Getenv("TIDEPOST_STEADY")
	if steady != "" {
		s.holdLimit(ctx, some, steady)
	} else {
		s.changeLimits(ctx, some)
	}
	only := os.Getenv("TIDEPOST_SERIES")
	for _, one := range faultSeries {
		if strings.Contains(only, one.name) {
			one.start(s, ctx)
		}
	}
	for _, one := range limitFaultSeries {
		if strings.Contains(only, one.name) {
			one.start(s, ctx)
		}
	}
	streams := envNumber(t, "TIDEPOST_LOAD", 0.8) * float64(cl.config.engines*engineFigures.Slots) / float64(cl.config.gateways)
	l := &keepAliveLoad{cluster: cl, streams: int(streams + 0.5), plain: 8, pause: 50 * time.Millisecond}
	l.run(ctx, seed(t))
	s.running.Wait()
	cl.reportLimits(t, some, cl.evaluate(l.finished, s.stops), s.counts)
}

// limitedServers returns the servers that name limits: a third of each kind, or all.
func (cl *cluster) limitedServers(all bool) (some []limitedServer) {
	for i := range cl.engines {
		if all || i%failureDomains == 0 {
			some = append(some, cl.limitedEngine(i))
		}
	}
	for i := range cl.plain {
		if all || i%failureDomains == 0 {
			some = append(some, cl.limitedPlain(i))
		}
	}
	return some
}

// changeLimits has each server say one thing after the other.
func (s *faultInjector) changeLimits(ctx context.Context, some []limitedServer) {
	for _, one := range some {
		s.repeat(ctx, "word", limitChangePause, func(r *rand.Rand) { one.limit.Announce(limitTexts[r.IntN(len(limitTexts))]) })
	}
}

// holdLimit has all servers name one limit from the start, until a fifth of the time is left.
func (s *faultInjector) holdLimit(ctx context.Context, some []limitedServer, text string) {
	deadline, _ := ctx.Deadline()
	for _, one := range some {
		one.limit.Announce(text)
		s.running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(deadline) * 4 / 5):
				one.limit.Announce("")
			}
		})
	}
}

// reportLimits prints what became of the limits, and fails where one was passed.
func (cl *cluster) reportLimits(t *testing.T, some []limitedServer, v verdict, done map[string]int) {
	most, got, may := 0, 0.0, 0.0
	for _, s := range some {
		lines, count := cl.limitViolations(s)
		most = max(most, count)
		for _, line := range lines {
			t.Errorf("%s", line)
		}
		for _, p := range limitPeriods(s.limit) {
			if seconds := (p.to.Sub(p.from) - limitUseDelay).Seconds(); p.to.Sub(p.from) >= minLimitTime && p.perSecond >= minMeasuredLimit && p.perSecond <= maxMeasuredLimit {
				got += usedShare(s, p) * p.perSecond * seconds
				may += p.perSecond * seconds
			}
		}
	}
	share := 1.0
	if may > 0 {
		share = got / may
	}
	fmt.Printf("limits: seed %d, machine load %s; done %v; ends %v; most in %s %d; used %.2f of %.0f; cut by plan %d, wrong %d\n",
		seed(t), machineLoad(), done, v.ends, limitWindow, most, share, may, v.stopViolations(), len(v.wrongAnswers))
	if os.Getenv("TIDEPOST_SERIES") == "" && share < minUsedShare {
		t.Errorf("%.2f of the limits was used; %.2f is the aim", share, minUsedShare)
	}
	for _, k := range v.wrongAnswers {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
	if n := v.ends[standin.TimedOut]; n > 0 {
		t.Errorf("%d requests had no answer at all", n)
	}
}

// usedShare returns how much of a limit the gateways used, from useFrom after its naming on.
func usedShare(s limitedServer, p limitPeriod) float64 {
	from := p.from.Add(limitUseDelay)
	got := 0
	for _, a := range s.limit.Arrivals() {
		if !a.At.Before(from) && a.At.Before(p.to) {
			got++
		}
	}
	return float64(got) / (p.perSecond * p.to.Sub(from).Seconds())
}

// killGateways kills one gateway after the other and starts it again.
func (s *faultInjector) killGateways(ctx context.Context) {
	s.repeat(ctx, "fall", gatewayKillPause, func(r *rand.Rand) {
		s.stopAndRestart(r, nameOf("gateway", r.IntN(s.cluster.config.gateways)), syscall.SIGKILL)
	})
}

// freezeGateways has one gateway after the other stand still.
func (s *faultInjector) freezeGateways(ctx context.Context) {
	s.repeat(ctx, "freeze", freezePause, func(r *rand.Rand) {
		name := nameOf("gateway", r.IntN(s.cluster.config.gateways))
		if !s.acquire(name) {
			return
		}
		defer s.release(name)
		s.cluster.programs.signal(name, syscall.SIGSTOP)
		time.Sleep(time.Duration(r.Float64() * float64(maxFaultTime)))
		s.cluster.programs.signal(name, syscall.SIGCONT)
	})
}

// partitionGateways cuts the gateways of one failure domain off from the others, while all reach
// the servers and the control nodes.
func (s *faultInjector) partitionGateways(ctx context.Context) {
	s.repeat(ctx, "cut", partitionPause, func(r *rand.Rand) {
		away := failureDomain(r.IntN(failureDomains))
		for i, p := range s.cluster.links[gatewayVMs] {
			here := failureDomain(i) == away
			p.Delay(func(dialer string) time.Duration {
				if (s.cluster.failureDomainOf(dialer) == away) != here {
					return 2 * maxFaultTime
				}
				return 0
			})
		}
		time.Sleep(time.Duration(r.Float64() * float64(maxFaultTime)))
		for _, p := range s.cluster.links[gatewayVMs] {
			p.Delay(nil)
		}
	})
}

// silenceGatewayLinks makes the open links between gateways silent for good.
func (s *faultInjector) silenceGatewayLinks(ctx context.Context) {
	s.repeat(ctx, "hush", partitionPause, func(*rand.Rand) {
		for _, p := range s.cluster.links[gatewayVMs] {
			p.Silence(faultproxy.Every, faultproxy.Manner{})
		}
	})
}

// killControlNodes kills all control nodes for the rest of the run.
func (s *faultInjector) killControlNodes(ctx context.Context) {
	s.running.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(limitChangePause):
		}
		for i := range s.cluster.config.control {
			s.cluster.programs.stop(nameOf("control", i), syscall.SIGKILL)
		}
	})
}

// failureDomainOf returns the failure domain of the gateway that dials a link; empty of none.
func (cl *cluster) failureDomainOf(dialer string) string {
	for i := range cl.config.gateways {
		if nameOf("gateway", i) == dialer {
			return failureDomain(i)
		}
	}
	return ""
}
