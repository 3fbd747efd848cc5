//go:build bench

// ================================================================
// Injects faults and planned operations into the programs: restarts, reloads, configuration
// changes, new versions of the weights and kills. Each fault series repeats one operation with
// random pauses drawn by a seed. Several series run at the same time.
// ================================================================

package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// Mean pauses between two operations of a series, and the longest time that a program stays
// down.
const (
	rollPause    = 8 * time.Second
	reloadPause  = 400 * time.Millisecond
	changePause  = time.Second
	versionPause = 8 * time.Second
	controlPause = 8 * time.Second
	stagerPause  = 4 * time.Second
	maxDowntime  = time.Second
)

// faultInjector runs fault series against the programs of a cluster.
type faultInjector struct {
	cluster *cluster
	random  *rand.Rand
	running sync.WaitGroup

	mu     sync.Mutex
	stops  []stopSpan
	counts map[string]int // finished operations by name
	// slowdown is the factor by which engines take longer while gateways are stopped
	// simultaneously.
	slowdown float64
	// stopping holds the programs that are being stopped or restarted.
	stopping map[string]bool
}

// acquire reports whether a program may be stopped now and, if so, reserves it until release.
func (f *faultInjector) acquire(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping[name] {
		return false
	}
	if f.stopping == nil {
		f.stopping = map[string]bool{}
	}
	f.stopping[name] = true
	return true
}

func (f *faultInjector) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.stopping, name)
}

// faultSeries lists the fault series. Their names are arguments of make lost and make limits.
var faultSeries = []struct {
	name  string
	start func(f *faultInjector, ctx context.Context)
	// onlyNamed series do not run by default, so that the draws of recorded seeds stay the
	// same.
	onlyNamed bool
}{
	{"roll", (*faultInjector).rollGateways, false},
	{"hup", (*faultInjector).reloadPrograms, false},
	{"change", (*faultInjector).changeConfiguration, false},
	{"version", (*faultInjector).nameVersions, false},
	{"kill", (*faultInjector).killPrograms, false},
	{"together", (*faultInjector).stopSimultaneously, true},
	{"others", (*faultInjector).stopControlNodesAndStagers, true},
}

// repeat runs an action until the context ends, with random pauses of up to twice the mean.
func (f *faultInjector) repeat(ctx context.Context, name string, mean time.Duration, action func(r *rand.Rand)) {
	r := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	f.running.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(2 * r.Float64() * float64(mean))):
			}
			action(r)
			f.mu.Lock()
			f.counts[name]++
			f.mu.Unlock()
		}
	})
}

// rollGateways stops each gateway gracefully and starts it again. Several gateways may be
// stopped at the same time.
func (f *faultInjector) rollGateways(ctx context.Context) {
	for i := range f.cluster.config.gateways {
		f.repeat(ctx, "roll", rollPause, func(r *rand.Rand) {
			name := nameOf("gateway", i)
			if !f.acquire(name) {
				return
			}
			defer f.release(name)
			stop := stopSpan{gateway: f.cluster.address(gatewayVMs, i, callersPort), from: time.Now()}
			f.cluster.programs.stop(name, syscall.SIGTERM)
			stop.to = time.Now()
			f.mu.Lock()
			f.stops = append(f.stops, stop)
			f.mu.Unlock()
			f.restartLater(r, name)
		})
	}
}

// stopAndRestart stops a program by a signal and starts it again, unless another series has
// acquired it.
func (f *faultInjector) stopAndRestart(r *rand.Rand, name string, sig syscall.Signal) {
	if !f.acquire(name) {
		return
	}
	defer f.release(name)
	f.cluster.programs.stop(name, sig)
	f.restartLater(r, name)
}

// restartLater starts a stopped program after a random time of up to maxDowntime.
func (f *faultInjector) restartLater(r *rand.Rand, name string) {
	time.Sleep(time.Duration(r.Float64() * float64(maxDowntime)))
	f.cluster.programs.restart(name)
}

// reloadPrograms makes randomly drawn programs read their settings again. A program that is
// being stopped may have exited, so errors are ignored.
func (f *faultInjector) reloadPrograms(ctx context.Context) {
	f.repeat(ctx, "hup", reloadPause, func(r *rand.Rand) {
		names := f.cluster.programs.names()
		_ = f.cluster.programs.lookup(names[r.IntN(len(names))]).cmd.Process.Signal(syscall.SIGHUP)
	})
}

// changeConfiguration puts configurations with varying numbers of routes.
func (f *faultInjector) changeConfiguration(ctx context.Context) {
	next := uint64(1)
	f.repeat(ctx, "change", changePause, func(r *rand.Rand) {
		next++
		c := standin.ConfigurationChange{Version: next, ExtraRoutes: r.IntN(maxExtraRoutes)}
		if err := f.cluster.operator.Reconfigure(context.WithoutCancel(ctx), engineFigures, c); err != nil {
			f.cluster.t.Error(err)
		}
	})
}

// nameVersions names new versions of the weights, one after the other.
func (f *faultInjector) nameVersions(ctx context.Context) {
	version := uint64(standin.FirstVersion)
	f.repeat(ctx, "version", versionPause, func(*rand.Rand) {
		version++
		f.cluster.nameVersion(context.WithoutCancel(ctx), version)
	})
}

// killPrograms kills control nodes and stagers.
func (f *faultInjector) killPrograms(ctx context.Context) {
	targets := []struct {
		kind  string
		count int
		pause time.Duration
	}{{"control", f.cluster.config.control, controlPause}, {"stager", f.cluster.config.engines, stagerPause}}
	for _, v := range targets {
		f.repeat(ctx, "kill "+v.kind, v.pause, func(r *rand.Rand) {
			f.stopAndRestart(r, nameOf(v.kind, r.IntN(v.count)), syscall.SIGKILL)
		})
	}
}
