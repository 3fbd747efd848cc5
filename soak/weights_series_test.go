//go:build bench

// ================================================================
// Staged chunks that turn corrupt while reads of them are slow, orders are taken late, busy processes compete
// for the processors, stagers are suspended and killed, and their connections to engines go silent, in series
// that overlap. The test is run by hand: make weights SEED=1, with these optional arguments:
//
//	READ_MS      how long a read of a staged chunk takes
//	ORDER_MS     how long an order waits at an engine before it is taken
//	ROT_MS       the time after which another chunk of an engine turns corrupt. An order is in order only if no
//	             chunk turns corrupt in the first ORDER_MS - 3000 ms of its wait, so ROT_MS must be at least
//	             about that long for a retry to succeed
//	BUSY         how many busy processes run beside
//	ENGINE_BUSY  how many busy loops run in the process of the engines, whose calls take longer then
//	PHASES=1     slow reads, late orders and busy processes come and go at random; otherwise they are there all
//	             the time
//	STOPS=1      suspends stagers for up to 4 s
//	KILLS=1      kills stagers
//	SILENT=1     silences the stagers' connections to engines
//	LOAD         the requests, as a share of what the engines carry; 0 is none
//	SECONDS, ENGINES, GATEWAYS
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// weightsSeconds is the duration of a run unless TIDEPOST_SECONDS is set.
	weightsSeconds = 50
	// Mean pauses between two faults of a stager or engine, and between two times at which busy processes
	// start.
	stagerStopPause   = 6 * time.Second
	phasePause        = 4 * time.Second
	stagerSilentPause = 6 * time.Second
)

// phases holds a time that applies to some of the engines now.
type phases struct {
	duration time.Duration
	active   []atomic.Bool // by engine
}

func newPhases(duration time.Duration, engines int, active bool) *phases {
	p := &phases{duration: duration, active: make([]atomic.Bool, engines)}
	for i := range p.active {
		p.active[i].Store(active)
	}
	return p
}

// at returns the time that applies to an engine now.
func (p *phases) at(engine int) time.Duration {
	if p.active[engine].Load() {
		return p.duration
	}
	return 0
}

// alternate lets the time of each engine apply at random.
func (p *phases) alternate(ctx context.Context, f *faultInjector, name string) {
	for i := range p.active {
		f.repeat(ctx, name, phasePause, func(r *rand.Rand) {
			p.active[i].Store(true)
			time.Sleep(time.Duration(2 * r.Float64() * float64(phasePause)))
			p.active[i].Store(false)
		})
	}
}

// versionWatch records when engines first served each version.
type versionWatch struct {
	cluster *cluster
	mu      sync.Mutex
	first   map[uint64]map[int]time.Time // by version and engine
}

// run polls the engines until the context ends.
func (v *versionWatch) run(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond
	for ; ctx.Err() == nil; time.Sleep(pollInterval) {
		for i, e := range v.cluster.engines {
			v.record(e.ServedVersion(), i)
		}
	}
}

func (v *versionWatch) record(version uint64, engine int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.first[version] == nil {
		v.first[version] = map[int]time.Time{}
	}
	if _, known := v.first[version][engine]; !known {
		v.first[version][engine] = time.Now()
	}
}

// reached returns for each engine that served a version how long after its naming that was, in ascending
// order.
func (v *versionWatch) reached(version uint64) (times []time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.first[version] {
		times = append(times, at.Sub(v.cluster.namedAt[version]).Round(10*time.Millisecond))
	}
	slices.Sort(times)
	return times
}

// Guards against the same as TestNoRequestRunsOnWeightsThatWereBadWhenTaken, under faults that overlap.
func TestWeightsUnderFaults(t *testing.T) {
	engines, withPhases := int(envNumber(t, "TIDEPOST_ENGINES", 6)), os.Getenv("TIDEPOST_PHASES") != ""
	readTime, orderDelay := newPhases(envTime(t, "TIDEPOST_READ_MS"), engines, !withPhases), newPhases(envTime(t, "TIDEPOST_ORDER_MS"), engines, !withPhases)
	cl := startCluster(t, clusterConfig{
		control: 3, gateways: int(envNumber(t, "TIDEPOST_GATEWAYS", 3)), engines: engines, plain: 1, plainServiceTime: 20 * time.Millisecond, rolloutDeadline: longRolloutDeadline,
		weightFaults: weightFaults{readTime: readTime.at, orderDelay: orderDelay.at, corruptInterval: envTime(t, "TIDEPOST_ROT_MS")},
	}, logFolder(t))
	time.Sleep(startupWait)
	endLoad, watch := cl.startWeightsLoad(t)
	seconds := envNumber(t, "TIDEPOST_SECONDS", weightsSeconds)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	f := &faultInjector{cluster: cl, random: rand.New(rand.NewPCG(seed(t), 1)), counts: map[string]int{}, slowdown: 1}
	if withPhases {
		readTime.alternate(ctx, f, "slow reads")
		orderDelay.alternate(ctx, f, "late orders")
	}
	burnCPU(ctx, int(envNumber(t, "TIDEPOST_ENGINE_BUSY", 0)))
	f.startWeightSeries(ctx, int(envNumber(t, "TIDEPOST_BUSY", 0)), withPhases)
	f.running.Wait()
	last := cl.lastVersion()
	cl.awaitVersion(last, longDeadline)
	time.Sleep(weightsAfterwards)
	cl.reportWeights(t, f.counts, watch.reached(last), endLoad())
}

// envTime returns the milliseconds in an environment variable, or 0 if it is not set.
func envTime(t *testing.T, variable string) time.Duration {
	return time.Duration(envNumber(t, variable, 0) * float64(time.Millisecond))
}

// startWeightsLoad starts the callers and watches the engines' versions. The function that it returns stops
// both and evaluates the requests.
func (cl *cluster) startWeightsLoad(t *testing.T) (end func() verdict, watch *versionWatch) {
	ctx, cancel := context.WithCancel(t.Context())
	streams := envNumber(t, "TIDEPOST_LOAD", 0.5) * float64(cl.config.engines*engineFigures.Slots) / float64(cl.config.gateways)
	l := &keepAliveLoad{cluster: cl, streams: int(streams + 0.5), pause: 200 * time.Millisecond}
	watch = &versionWatch{cluster: cl, first: map[uint64]map[int]time.Time{}}
	var running sync.WaitGroup
	running.Go(func() { watch.run(ctx) })
	running.Go(func() { l.run(ctx, seed(t)) })
	return func() verdict {
		cancel()
		running.Wait()
		return cl.evaluate(l.finished, nil)
	}, watch
}

// startWeightSeries starts the series of faults that the environment selects.
func (f *faultInjector) startWeightSeries(ctx context.Context, busy int, withPhases bool) {
	f.nameVersions(ctx)
	switch {
	case busy > 0 && withPhases:
		f.repeat(ctx, "busy", phasePause, func(r *rand.Rand) {
			f.cluster.runBusyProcesses(ctx, busy, time.Duration(2*r.Float64()*float64(phasePause)))
		})
	case busy > 0:
		f.running.Go(func() { f.cluster.runBusyProcesses(ctx, busy, time.Hour) })
	}
	if os.Getenv("TIDEPOST_STOPS") != "" {
		f.suspendStagers(ctx)
	}
	if os.Getenv("TIDEPOST_KILLS") != "" {
		f.repeat(ctx, "kill stager", stagerPause, func(r *rand.Rand) {
			f.stopAndRestart(r, nameOf("stager", r.IntN(f.cluster.config.engines)), syscall.SIGKILL)
		})
	}
	if os.Getenv("TIDEPOST_SILENT") != "" {
		f.silenceEngines(ctx)
	}
}

// suspendStagers suspends each stager again and again.
func (f *faultInjector) suspendStagers(ctx context.Context) {
	for i := range f.cluster.config.engines {
		f.repeat(ctx, "stop stager", stagerStopPause, func(r *rand.Rand) {
			name := nameOf("stager", i)
			if !f.acquire(name) {
				return
			}
			defer f.release(name)
			f.cluster.programs.signal(name, syscall.SIGSTOP)
			time.Sleep(time.Duration(r.Float64() * float64(maxFaultTime)))
			f.cluster.programs.signal(name, syscall.SIGCONT)
		})
	}
}

// silenceEngines makes the stagers' open connections to engines silent again and again. New ones work.
func (f *faultInjector) silenceEngines(ctx context.Context) {
	for _, p := range f.cluster.servers[engineVMs] {
		f.repeat(ctx, "silence", stagerSilentPause, func(*rand.Rand) {
			p.Silence(func(label string) bool { return label == "stager" }, faultproxy.SilenceOptions{})
		})
	}
}

// runBusyProcesses runs processes that only use processor time, for a time or until the context ends.
func (cl *cluster) runBusyProcesses(ctx context.Context, count int, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var running sync.WaitGroup
	for range count {
		cmd := exec.CommandContext(ctx, "sh", "-c", "while :; do :; done")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		started := make(chan error)
		cl.programs.startQueue <- func() { started <- cmd.Start() }
		if err := <-started; err != nil && ctx.Err() == nil {
			cl.t.Error(err)
			continue
		}
		running.Go(func() { _ = cmd.Wait() })
	}
	running.Wait()
}

// lastVersion returns the latest version that was named.
func (cl *cluster) lastVersion() (last uint64) {
	for version := range cl.namedAt {
		last = max(last, version)
	}
	return last
}

// reportWeights prints a line on the run, and fails if engines did not come to the last version or responses
// were wrong. reached holds the times that engines took to serve the last version.
func (cl *cluster) reportWeights(t *testing.T, counts map[string]int, reached []time.Duration, v verdict) {
	arrival := "none"
	if len(reached) > 0 {
		arrival = fmt.Sprintf("p50 %s, worst %s", reached[len(reached)/2], reached[len(reached)-1])
	}
	fmt.Printf("weights: seed %d, machine load %s; done %v; %s; version %d: %d of %d engines, %s; ends %v\n",
		seed(t), machineLoad(), counts, cl.summarizeLoads(), cl.lastVersion(), len(reached), len(cl.engines), arrival, v.ends)
	if len(reached) < len(cl.engines) {
		t.Errorf("%d of %d engines came to serve version %d", len(reached), len(cl.engines), cl.lastVersion())
	}
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
	if load := envNumber(t, "TIDEPOST_LOAD", 0.5); load > 0 && v.ends[standin.Succeeded] == 0 {
		t.Error("no caller was served")
	}
}
