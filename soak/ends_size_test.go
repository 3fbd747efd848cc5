//go:build bench

// ================================================================
// Measures the cost of a request that crashes servers, and checks that it is stopped, with 6
// gateways and 12 servers. The request arrives at a random gateway four times a second, beside
// repeatable requests, requests that must run at most once and one popular request. The test
// is run by hand: make ends SEED=1, with these optional arguments:
//
//	KIND       safe or unsafe: the kind of the crashing request
//	SAME=1     servers restart under the same instance name
//	RACKS=1    crashes all servers of a failure domain, four times
//	RESTARTS=1 restarts gateways, kills control nodes, reloads and pauses programs and
//	           changes the configuration
//	ENDING=0   leaves out the crashing request
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
	// crashRunSeconds is the duration of a run unless TIDEPOST_SECONDS is set.
	crashRunSeconds = 24
	// crashReportTime is the time within which all gateways must have learned of a crash.
	crashReportTime = 3 * time.Second
	// maxLateCrashes is how often the request may reach servers more than crashReportTime after
	// its third crash.
	maxLateCrashes = 3
	// minServedShare is the share of the other repeatable requests that must be served.
	minServedShare = 0.97

	crashingPerSecond = 4
	safePerSecond     = 125
	oncePerSecond     = 25
	popularPerSecond  = 50
)

// openLoad is an open-loop load: it sends requests at a fixed rate, whatever the outcome of
// earlier ones.
type openLoad struct {
	cluster    *cluster
	background sync.WaitGroup

	mu       sync.Mutex
	sent     map[string]int
	complete map[string]int
}

// send sends requests under a name at a fixed rate until the context ends.
func (l *openLoad) send(ctx context.Context, name string, perSecond float64, a standin.Request, random *rand.Rand) {
	l.background.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			request, first := a, random.IntN(l.cluster.config.gateways)
			request.ID = fmt.Sprintf("%s-%d", name, n)
			l.background.Go(func() { l.sendOne(name, request, first) })
			<-ticker.C
		}
	})
}

func (l *openLoad) sendOne(name string, a standin.Request, first int) {
	c := standin.Caller{Gateway: func(number int) string {
		return l.cluster.address(gatewayVMs, (first+number)%l.cluster.config.gateways, callersPort)
	}}
	do := c.Do
	if name == "ending" {
		do = func(ctx context.Context, a standin.Request) standin.Result { return c.DoOnce(ctx, a, 0) }
	}
	result := do(context.Background(), a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[name]++
	if result.Complete && result.Mismatch == "" {
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
	newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), 1)) }
	const deadline = 6 * time.Second
	l.send(ctx, "safe", safePerSecond, standin.Request{Kind: standin.Safe, Timeout: deadline}, newRandom())
	l.send(ctx, "once", oncePerSecond, standin.Request{Kind: standin.Unsafe, Timeout: deadline}, newRandom())
	l.send(ctx, "popular", popularPerSecond, standin.Request{Kind: standin.Safe, Timeout: deadline, Body: popularBody}, newRandom())
	faults := &faultInjector{cluster: cl, random: newRandom(), counts: map[string]int{}}
	kind := standin.Safe
	if os.Getenv("TIDEPOST_KIND") == string(standin.Unsafe) {
		kind = standin.Unsafe
	}
	if os.Getenv("TIDEPOST_ENDING") != "0" {
		l.send(ctx, "ending", crashingPerSecond, standin.Request{Kind: kind, Timeout: deadline, Body: crashingBody}, newRandom())
	}
	if os.Getenv("TIDEPOST_RACKS") == "1" {
		l.background.Go(func() { failDomains(ctx, cl, newRandom()) })
	}
	if os.Getenv("TIDEPOST_RESTARTS") == "1" {
		l.background.Go(func() { restart(ctx, cl, "gateway", cl.config.gateways, syscall.SIGTERM, newRandom()) })
		l.background.Go(func() { restart(ctx, cl, "control", cl.config.control, syscall.SIGKILL, newRandom()) })
		l.background.Go(func() { pausePrograms(ctx, cl, newRandom()) })
		faults.reloadPrograms(ctx)
		faults.changeConfiguration(ctx)
	}
	l.background.Wait()
	faults.running.Wait()
	l.report(t, kind)
}

// failDomains crashes all servers of one failure domain at a time, four times.
func failDomains(ctx context.Context, cl *cluster, random *rand.Rand) {
	const pause = 5 * time.Second
	for shift := range 4 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		cl.failDomain((random.IntN(failureDomains) + shift) % failureDomains)
	}
}

// restart stops randomly drawn programs of a kind by a signal and starts them again, until the
// context ends.
func restart(ctx context.Context, cl *cluster, kind string, count int, sig syscall.Signal, random *rand.Rand) {
	const pause = 2 * time.Second
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		name := nameOf(kind, random.IntN(count))
		cl.programs.stop(name, sig)
		cl.programs.restart(name)
	}
}

// pausePrograms suspends randomly drawn programs for a short time, until the context ends. A
// program that is being restarted may have exited, so errors are ignored.
func pausePrograms(ctx context.Context, cl *cluster, random *rand.Rand) {
	const pause, maxPause = 500 * time.Millisecond, 800 * time.Millisecond
	for ctx.Err() == nil {
		names := cl.programs.names()
		process := cl.programs.lookup(names[random.IntN(len(names))]).cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Float64() * float64(maxPause)))
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(pause)
	}
}

// report prints how many requests were served and checks how often the crashing request
// reached servers.
func (l *openLoad) report(t *testing.T, kind standin.Kind) {
	var crashes []time.Time
	for _, s := range l.cluster.crashing {
		for _, b := range s.CrashedBy() {
			crashes = append(crashes, b.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > crashReportTime {
			late++
		}
	}
	fmt.Printf("ends: seed %d, kind %s, machine load %s; crashing requests %d, crashes %d, late ones %d; safe %d of %d, once %d of %d, popular %d of %d\n",
		seed(t), kind, machineLoad(), l.sent["ending"], len(crashes), late,
		l.complete["safe"], l.sent["safe"], l.complete["once"], l.sent["once"], l.complete["popular"], l.sent["popular"])
	if late > maxLateCrashes {
		t.Errorf("the request crashed servers %d times more than %s after its third crash; at most %d are allowed", late, crashReportTime, maxLateCrashes)
	}
	for _, name := range []string{"safe", "popular"} {
		if float64(l.complete[name]) < minServedShare*float64(l.sent[name]) {
			t.Errorf("%s: %d of %d answered completely", name, l.complete[name], l.sent[name])
		}
	}
}
