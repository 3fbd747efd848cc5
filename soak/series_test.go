//go:build bench

// ================================================================
// What is done to the programs, in series that overlap: stops, reloads, changes,
// versions of weights and kills, one after the other in each series, drawn by a seed.
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

// Mean pauses between two things of a series, and the longest time a program stays down.
const (
	rollPause    = 8 * time.Second
	reloadPause  = 400 * time.Millisecond
	changePause  = time.Second
	versionPause = 8 * time.Second
	controlPause = 8 * time.Second
	stagerPause  = 4 * time.Second
	maxDowntime  = time.Second
)

// faultInjector are what is done to the programs of a world.
type faultInjector struct {
	cluster *cluster
	random  *rand.Rand
	running sync.WaitGroup

	mu     sync.Mutex
	stops  []stopSpan
	counts map[string]int // by what
	// slowdown is how many times as long engines take while gateways are stopped together.
	slowdown float64
	// stopping are the programs that are being stopped or started again.
	stopping map[string]bool
}

// acquire tells whether a program may be stopped now; it is then to be given back.
func (s *faultInjector) acquire(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping[name] {
		return false
	}
	if s.stopping == nil {
		s.stopping = map[string]bool{}
	}
	s.stopping[name] = true
	return true
}

func (s *faultInjector) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stopping, name)
}

// faultSeries are the series by name.
var faultSeries = []struct {
	name  string
	start func(s *faultInjector, ctx context.Context)
	// onlyNamed are left out where none is named: recorded seeds draw without them.
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

// repeat does something again and again until the context ends, with pauses drawn up to
// twice a mean.
func (s *faultInjector) repeat(ctx context.Context, name string, mean time.Duration, do func(r *rand.Rand)) {
	r := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	s.running.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(2 * r.Float64() * float64(mean))):
			}
			do(r)
			s.mu.Lock()
			s.counts[name]++
			s.mu.Unlock()
		}
	})
}

// rollGateways stops each gateway in order and starts it again, several at one time.
func (s *faultInjector) rollGateways(ctx context.Context) {
	for i := range s.cluster.config.gateways {
		s.repeat(ctx, "roll", rollPause, func(r *rand.Rand) {
			name := nameOf("gateway", i)
			if !s.acquire(name) {
				return
			}
			defer s.release(name)
			one := stopSpan{gateway: s.cluster.address(gatewayVMs, i, callersPort), from: time.Now()}
			s.cluster.programs.stop(name, syscall.SIGTERM)
			one.to = time.Now()
			s.mu.Lock()
			s.stops = append(s.stops, one)
			s.mu.Unlock()
			s.restartLater(r, name)
		})
	}
}

// stopAndRestart ends a program by a signal and starts it again, unless another series has it.
func (s *faultInjector) stopAndRestart(r *rand.Rand, name string, by syscall.Signal) {
	if !s.acquire(name) {
		return
	}
	defer s.release(name)
	s.cluster.programs.stop(name, by)
	s.restartLater(r, name)
}

// restartLater starts a program that was ended, after a while.
func (s *faultInjector) restartLater(r *rand.Rand, name string) {
	time.Sleep(time.Duration(r.Float64() * float64(maxDowntime)))
	s.cluster.programs.restart(name)
}

// reloadPrograms tells any program to read its settings again. One that is being stopped may be
// gone.
func (s *faultInjector) reloadPrograms(ctx context.Context) {
	s.repeat(ctx, "hup", reloadPause, func(r *rand.Rand) {
		names := s.cluster.programs.names()
		_ = s.cluster.programs.lookup(names[r.IntN(len(names))]).cmd.Process.Signal(syscall.SIGHUP)
	})
}

// changeConfiguration puts configurations with more and fewer routes.
func (s *faultInjector) changeConfiguration(ctx context.Context) {
	next := uint64(1)
	s.repeat(ctx, "change", changePause, func(r *rand.Rand) {
		next++
		c := standin.ConfigurationChange{Version: next, ExtraRoutes: r.IntN(maxExtraRoutes)}
		if err := s.cluster.operator.Reconfigure(context.WithoutCancel(ctx), engineFigures, c); err != nil {
			s.cluster.t.Error(err)
		}
	})
}

// nameVersions names one version of the weights after the other.
func (s *faultInjector) nameVersions(ctx context.Context) {
	version := uint64(standin.FirstVersion)
	s.repeat(ctx, "version", versionPause, func(*rand.Rand) {
		version++
		s.cluster.nameVersion(context.WithoutCancel(ctx), version)
	})
}

// killPrograms kills control nodes and stagers.
func (s *faultInjector) killPrograms(ctx context.Context) {
	victims := []struct {
		kind  string
		count int
		pause time.Duration
	}{{"control", s.cluster.config.control, controlPause}, {"stager", s.cluster.config.engines, stagerPause}}
	for _, v := range victims {
		s.repeat(ctx, "kill "+v.kind, v.pause, func(r *rand.Rand) {
			s.stopAndRestart(r, nameOf(v.kind, r.IntN(v.count)), syscall.SIGKILL)
		})
	}
}
