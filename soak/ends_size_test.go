//go:build bench

// ================================================================
// What a request that ends servers costs, and whether it is stopped, at 6 gateways and 12
// servers: it comes at a random gateway four times a second, beside repeatable requests,
// some that run once and one that everybody asks. By hand: make ends SEED=1.
//
//	KIND is safe or unsafe, SAME=1 has servers start again under their instance,
//	RACKS=1 fails a rack of servers four times, RESTARTS=1 restarts gateways, kills
//	control nodes, has programs reload and stand still and changes the configuration,
//	ENDING=0 leaves the request out
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// crashRunSeconds is how long a run takes; TIDEPOST_SECONDS changes it.
	crashRunSeconds = 24
	// crashReportTime is within what time all machines hear of an end.
	crashReportTime = 3 * time.Second
	// maxLateCrashes is how often the request may reach servers later than that after the third.
	maxLateCrashes = 3
	// minServedShare of the other repeatable work is to be served.
	minServedShare = 0.97

	crashingPerSecond = 4
	safePerSecond     = 125
	oncePerSecond     = 25
	popularPerSecond  = 50
)

// openLoad sends requests at even distances whatever becomes of the ones before.
type openLoad struct {
	cluster    *cluster
	background sync.WaitGroup

	mu       sync.Mutex
	sent     map[string]int
	complete map[string]int
}

// send sends requests of a name at a rate until the context ends.
func (l *openLoad) send(ctx context.Context, name string, perSecond float64, a standin.Request, random *rand.Rand) {
	l.background.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			one, first := a, random.IntN(l.cluster.config.gateways)
			one.ID = fmt.Sprintf("%s-%d", name, n)
			l.background.Go(func() { l.ask(name, one, first) })
			<-ticker.C
		}
	})
}

func (l *openLoad) ask(name string, a standin.Request, first int) {
	c := standin.Caller{Gateway: func(try int) string {
		return l.cluster.address(gatewayVMs, (first+try)%l.cluster.config.gateways, callersPort)
	}}
	do := c.Do
	if name == "ending" {
		do = func(ctx context.Context, a standin.Request) standin.Result { return c.DoOnce(ctx, a, 0) }
	}
	answer := do(context.Background(), a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[name]++
	if answer.Complete && answer.Mismatch == "" {
		l.complete[name]++
	}
}

func TestEndsAtSize(t *testing.T) {
	cl := startCluster(t, clusterConfig{
		control: 3, gateways: 6, crashing: 12, plainServiceTime: 20 * time.Millisecond, rolloutDeadline: longRolloutDeadline,
		sameInstance: os.Getenv("TIDEPOST_SAME") == "1",
	}, logFolder(t))
	time.Sleep(startupWait)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(envNumber(t, "TIDEPOST_SECONDS", crashRunSeconds)*float64(time.Second)))
	defer cancel()
	l := &openLoad{cluster: cl, sent: map[string]int{}, complete: map[string]int{}}
	random := rand.New(rand.NewPCG(seed(t), 1))
	draws := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), 1)) }
	const within = 6 * time.Second
	l.send(ctx, "safe", safePerSecond, standin.Request{Kind: standin.Safe, Timeout: within}, draws())
	l.send(ctx, "once", oncePerSecond, standin.Request{Kind: standin.Unsafe, Timeout: within}, draws())
	l.send(ctx, "popular", popularPerSecond, standin.Request{Kind: standin.Safe, Timeout: within, Body: popularBody}, draws())
	s := &faultInjector{cluster: cl, random: draws(), counts: map[string]int{}}
	kind := standin.Safe
	if os.Getenv("TIDEPOST_KIND") == string(standin.Unsafe) {
		kind = standin.Unsafe
	}
	if os.Getenv("TIDEPOST_ENDING") != "0" {
		l.send(ctx, "ending", crashingPerSecond, standin.Request{Kind: kind, Timeout: within, Body: crashingBody}, draws())
	}
	if os.Getenv("TIDEPOST_RACKS") == "1" {
		l.background.Go(func() { failDomains(ctx, cl, draws()) })
	}
	if os.Getenv("TIDEPOST_RESTARTS") == "1" {
		l.background.Go(func() { restart(ctx, cl, "gateway", cl.config.gateways, syscall.SIGTERM, draws()) })
		l.background.Go(func() { restart(ctx, cl, "control", cl.config.control, syscall.SIGKILL, draws()) })
		l.background.Go(func() { pausePrograms(ctx, cl, draws()) })
		s.reloadPrograms(ctx)
		s.changeConfiguration(ctx)
	}
	l.background.Wait()
	s.running.Wait()
	l.report(t, kind)
}

// failDomains ends all servers of one failure domain after the other.
func failDomains(ctx context.Context, cl *cluster, random *rand.Rand) {
	const pause = 5 * time.Second
	for rest := range 4 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		cl.failDomain((random.IntN(failureDomains) + rest) % failureDomains)
	}
}

// restart ends programs of a kind by a signal, one after the other, and starts them again.
func restart(ctx context.Context, cl *cluster, kind string, count int, by syscall.Signal, random *rand.Rand) {
	const pause = 2 * time.Second
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		name := nameOf(kind, random.IntN(count))
		cl.programs.stop(name, by)
		cl.programs.restart(name)
	}
}

// pausePrograms has any program stand still for a while, one after the other. One that is
// being restarted may be gone.
func pausePrograms(ctx context.Context, cl *cluster, random *rand.Rand) {
	const pause, mostStill = 500 * time.Millisecond, 800 * time.Millisecond
	for ctx.Err() == nil {
		names := cl.programs.names()
		process := cl.programs.lookup(names[random.IntN(len(names))]).cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Float64() * float64(mostStill)))
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(pause)
	}
}

// report prints what was served and checks how often the request reached servers.
func (l *openLoad) report(t *testing.T, kind standin.Kind) {
	var ends []time.Time
	for _, s := range l.cluster.crashing {
		for _, b := range s.CrashedBy() {
			ends = append(ends, b.At)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	later := 0
	for i, at := range ends {
		if i >= 3 && at.Sub(ends[2]) > crashReportTime {
			later++
		}
	}
	fmt.Printf("ends: seed %d, kind %s, machine load %s; came %d, servers ended %d, of them late %d; safe %d of %d, once %d of %d, popular %d of %d\n",
		seed(t), kind, machineLoad(), l.sent["ending"], len(ends), later,
		l.complete["safe"], l.sent["safe"], l.complete["once"], l.sent["once"], l.complete["popular"], l.sent["popular"])
	if later > maxLateCrashes {
		t.Errorf("it reached servers %d times later than %s after the third end; %d may", later, crashReportTime, maxLateCrashes)
	}
	for _, name := range []string{"safe", "popular"} {
		if float64(l.complete[name]) < minServedShare*float64(l.sent[name]) {
			t.Errorf("%s: %d of %d served whole", name, l.complete[name], l.sent[name])
		}
	}
}
