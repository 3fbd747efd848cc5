//go:build bench

// ================================================================
// Checks that gateways keep to the rate limits that backend servers advertise, and use them
// up, while gateways are restarted, killed, suspended and partitioned and control nodes and
// stagers are killed. A third of the servers, or all, change between limits, malformed
// limits and none. The test depends on wall-clock time, so it is run by hand:
// make limits SEED=1.
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
	// limitsSeconds is the duration of a run unless TIDEPOST_SECONDS is set.
	limitsSeconds = 30
	// limitChangePause is the mean time between two changes of a server's limit.
	limitChangePause = 4 * time.Second
	// Mean pauses between two kills, suspensions and partitions of gateways, and the longest
	// duration of a suspension or partition.
	gatewayKillPause = 1500 * time.Millisecond
	freezePause      = 3 * time.Second
	partitionPause   = 4 * time.Second
	maxFaultTime     = 4 * time.Second
	// minLimitTime is how long a limit must be in effect for its use to be measured.
	minLimitTime = 5 * time.Second
	// minMeasuredLimit and maxMeasuredLimit bound the limits whose use is measured. One permit
	// is more than a tenth of a lower limit, and an engine has too little work for a higher one.
	minMeasuredLimit, maxMeasuredLimit = 0.9, 5
	// minUsedShare is the share of a limit that must be used if there is enough work.
	minUsedShare = 0.8
)

// limitTexts are the values that servers advertise, some malformed; an empty one removes the
// limit.
var limitTexts = []string{"1", "1.9", "3", "8", "0.2", "0", "25", "many", "-1", "NaN", "1e400", "", "", ""}

// limitFaultSeries are the fault series that only this test has. Their names are arguments of
// make limits.
var limitFaultSeries = []struct {
	name  string
	start func(f *faultInjector, ctx context.Context)
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
	faults := &faultInjector{cluster: cl, random: rand.New(rand.NewPCG(seed(t), 1)), counts: map[string]int{}, slowdown: 1}
	servers := cl.limitedServers(os.Getenv("TIDEPOST_ALL") != "")
	steady := os.Getenv("TIDEPOST_STEADY")
	if steady != "" {
		faults.holdLimit(ctx, servers, steady)
	} else {
		faults.changeLimits(ctx, servers)
	}
	selected := os.Getenv("TIDEPOST_SERIES")
	for _, series := range faultSeries {
		if strings.Contains(selected, series.name) {
			series.start(faults, ctx)
		}
	}
	for _, series := range limitFaultSeries {
		if strings.Contains(selected, series.name) {
			series.start(faults, ctx)
		}
	}
	streams := envNumber(t, "TIDEPOST_LOAD", 0.8) * float64(cl.config.engines*engineFigures.Slots) / float64(cl.config.gateways)
	l := &keepAliveLoad{cluster: cl, streams: int(streams + 0.5), plain: 8, pause: 50 * time.Millisecond}
	l.run(ctx, seed(t))
	faults.running.Wait()
	loadEnd, _ := ctx.Deadline()
	cl.reportLimits(t, servers, loadEnd, cl.evaluate(l.finished, faults.stops), faults.counts)
}

// limitedServers returns the servers that advertise limits: a third of each kind, or all.
func (cl *cluster) limitedServers(all bool) (servers []limitedServer) {
	for i := range cl.engines {
		if all || i%failureDomains == 0 {
			servers = append(servers, cl.limitedEngine(i))
		}
	}
	for i := range cl.plain {
		if all || i%failureDomains == 0 {
			servers = append(servers, cl.limitedPlain(i))
		}
	}
	return servers
}

// changeLimits makes each server advertise randomly drawn limits.
func (f *faultInjector) changeLimits(ctx context.Context, servers []limitedServer) {
	for _, server := range servers {
		f.repeat(ctx, "word", limitChangePause, func(r *rand.Rand) { server.limit.Advertise(limitTexts[r.IntN(len(limitTexts))]) })
	}
}

// holdLimit makes all servers advertise one limit from the start until a fifth of the time is
// left.
func (f *faultInjector) holdLimit(ctx context.Context, servers []limitedServer, text string) {
	deadline, _ := ctx.Deadline()
	for _, server := range servers {
		server.limit.Advertise(text)
		f.running.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(deadline) * 4 / 5):
				server.limit.Advertise("")
			}
		})
	}
}

// reportLimits prints how limits were kept and used, and fails if one was exceeded, if too
// little of the limits was used in a run without fault series, or if a response was wrong or
// missing. Callers send requests until loadEnd.
func (cl *cluster) reportLimits(t *testing.T, servers []limitedServer, loadEnd time.Time, v verdict, counts map[string]int) {
	maxCount := 0
	for _, s := range servers {
		lines, count := cl.limitViolations(s)
		maxCount = max(maxCount, count)
		for _, line := range lines {
			t.Errorf("%s", line)
		}
	}
	received, allowed := usedLimits(servers, loadEnd)
	share := 1.0
	if allowed > 0 {
		share = received / allowed
	}
	fmt.Printf("limits: seed %d, machine load %s; done %v; ends %v; most in %s %d; used %.2f of %.0f; cut by planned stops %d, wrong %d\n",
		seed(t), machineLoad(), counts, v.ends, limitWindow, maxCount, share, allowed, v.stopViolations(), len(v.wrongResponses))
	if os.Getenv("TIDEPOST_SERIES") == "" && share < minUsedShare {
		t.Errorf("%.2f of the limits was used; the target is %.2f", share, minUsedShare)
	}
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
	if n := v.ends[standin.TimedOut]; n > 0 {
		t.Errorf("%d requests had no response", n)
	}
}

// usedLimits returns how many of the requests that measured limits allowed servers received, and
// how many were allowed. Requests above the limit in one period don't make up for another one. A
// server advertises its last limit until the programs have stopped, but callers send nothing after
// loadEnd.
func usedLimits(servers []limitedServer, loadEnd time.Time) (received, allowed float64) {
	for _, s := range servers {
		for _, p := range limitPeriods(s.limit) {
			if p.to.After(loadEnd) {
				p.to = loadEnd
			}
			if !p.isMeasured() {
				continue
			}
			from := p.from.Add(limitUseDelay)
			permits := p.perSecond * p.to.Sub(from).Seconds()
			received += min(float64(arrivalsBetween(s.limit, from, p.to)), permits)
			allowed += permits
		}
	}
	return received, allowed
}

// isMeasured returns whether the use of the limit is measured.
func (p limitPeriod) isMeasured() bool {
	return p.to.Sub(p.from) >= minLimitTime && p.perSecond >= minMeasuredLimit && p.perSecond <= maxMeasuredLimit
}

// killGateways kills one gateway after the other and starts it again.
func (f *faultInjector) killGateways(ctx context.Context) {
	f.repeat(ctx, "fall", gatewayKillPause, func(r *rand.Rand) {
		f.stopAndRestart(r, nameOf("gateway", r.IntN(f.cluster.config.gateways)), syscall.SIGKILL)
	})
}

// freezeGateways suspends one gateway after the other.
func (f *faultInjector) freezeGateways(ctx context.Context) {
	f.repeat(ctx, "freeze", freezePause, func(r *rand.Rand) {
		name := nameOf("gateway", r.IntN(f.cluster.config.gateways))
		if !f.acquire(name) {
			return
		}
		defer f.release(name)
		f.cluster.programs.signal(name, syscall.SIGSTOP)
		time.Sleep(time.Duration(r.Float64() * float64(maxFaultTime)))
		f.cluster.programs.signal(name, syscall.SIGCONT)
	})
}

// partitionGateways partitions the gateways of one failure domain from the others. All of
// them still reach the servers and the control nodes.
func (f *faultInjector) partitionGateways(ctx context.Context) {
	f.repeat(ctx, "cut", partitionPause, func(r *rand.Rand) {
		isolated := failureDomain(r.IntN(failureDomains))
		for i, p := range f.cluster.links[gatewayVMs] {
			inside := failureDomain(i) == isolated
			p.Delay(func(dialer string) time.Duration {
				if (f.cluster.failureDomainOf(dialer) == isolated) != inside {
					return 2 * maxFaultTime
				}
				return 0
			})
		}
		time.Sleep(time.Duration(r.Float64() * float64(maxFaultTime)))
		for _, p := range f.cluster.links[gatewayVMs] {
			p.Delay(nil)
		}
	})
}

// silenceGatewayLinks makes the open links between gateways permanently silent. New links work.
func (f *faultInjector) silenceGatewayLinks(ctx context.Context) {
	f.repeat(ctx, "hush", partitionPause, func(*rand.Rand) {
		for _, p := range f.cluster.links[gatewayVMs] {
			p.Silence(faultproxy.AllLabels, faultproxy.SilenceOptions{})
		}
	})
}

// killControlNodes kills all control nodes for the rest of the run.
func (f *faultInjector) killControlNodes(ctx context.Context) {
	f.running.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(limitChangePause):
		}
		for i := range f.cluster.config.control {
			f.cluster.programs.stop(nameOf("control", i), syscall.SIGKILL)
		}
	})
}

// failureDomainOf returns the failure domain of the gateway that dials a link, and an empty
// string for any other dialer.
func (cl *cluster) failureDomainOf(dialer string) string {
	for i := range cl.config.gateways {
		if nameOf("gateway", i) == dialer {
			return failureDomain(i)
		}
	}
	return ""
}
