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
	hangUpPause  = 400 * time.Millisecond
	changePause  = time.Second
	versionPause = 8 * time.Second
	controlPause = 8 * time.Second
	stagerPause  = 4 * time.Second
	longestDown  = time.Second
)

// series are what is done to the programs of a world.
type series struct {
	world  *world
	random *rand.Rand
	under  sync.WaitGroup

	mu    sync.Mutex
	stops []span
	done  map[string]int // by what
	// pace is how many times as long engines take while gateways are stopped together.
	pace float64
	// stopping are the programs that are being stopped or started again.
	stopping map[string]bool
}

// take tells whether a program may be stopped now; it is then to be given back.
func (s *series) take(name string) bool {
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

func (s *series) giveBack(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stopping, name)
}

// everySeries are the series by name.
var everySeries = []struct {
	name  string
	start func(s *series, ctx context.Context)
	// onlyNamed are left out where none is named: recorded seeds draw without them.
	onlyNamed bool
}{
	{"roll", (*series).rollGateways, false},
	{"hup", (*series).hangUp, false},
	{"change", (*series).change, false},
	{"version", (*series).nameVersions, false},
	{"kill", (*series).kill, false},
	{"together", (*series).stopTogether, true},
	{"others", (*series).stopOthers, true},
}

// loop does something again and again until the context ends, with pauses drawn up to
// twice a mean.
func (s *series) loop(ctx context.Context, name string, mean time.Duration, do func(r *rand.Rand)) {
	r := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	s.under.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(2 * r.Float64() * float64(mean))):
			}
			do(r)
			s.mu.Lock()
			s.done[name]++
			s.mu.Unlock()
		}
	})
}

// rollGateways stops each gateway in order and starts it again, several at one time.
func (s *series) rollGateways(ctx context.Context) {
	for i := range s.world.size.gateways {
		s.loop(ctx, "roll", rollPause, func(r *rand.Rand) {
			name := nameOf("gateway", i)
			if !s.take(name) {
				return
			}
			defer s.giveBack(name)
			one := span{gateway: s.world.at(gatewayVMs, i, callersPort), from: time.Now()}
			s.world.programs.stop(name, syscall.SIGTERM)
			one.to = time.Now()
			s.mu.Lock()
			s.stops = append(s.stops, one)
			s.mu.Unlock()
			s.startLater(r, name)
		})
	}
}

// stopOne ends a program by a signal and starts it again, unless another series has it.
func (s *series) stopOne(r *rand.Rand, name string, by syscall.Signal) {
	if !s.take(name) {
		return
	}
	defer s.giveBack(name)
	s.world.programs.stop(name, by)
	s.startLater(r, name)
}

// startLater starts a program that was ended, after a while.
func (s *series) startLater(r *rand.Rand, name string) {
	time.Sleep(time.Duration(r.Float64() * float64(longestDown)))
	s.world.programs.again(name)
}

// hangUp tells any program to read its settings again. One that is being stopped may be
// gone.
func (s *series) hangUp(ctx context.Context) {
	s.loop(ctx, "hup", hangUpPause, func(r *rand.Rand) {
		names := s.world.programs.names()
		_ = s.world.programs.named(names[r.IntN(len(names))]).cmd.Process.Signal(syscall.SIGHUP)
	})
}

// change puts configurations with more and fewer routes.
func (s *series) change(ctx context.Context) {
	next := uint64(1)
	s.loop(ctx, "change", changePause, func(r *rand.Rand) {
		next++
		c := standin.ConfigurationChange{Version: next, ExtraRoutes: r.IntN(mostMore)}
		if err := s.world.operator.Reconfigure(context.WithoutCancel(ctx), figures, c); err != nil {
			s.world.t.Error(err)
		}
	})
}

// nameVersions names one version of the weights after the other.
func (s *series) nameVersions(ctx context.Context) {
	version := uint64(standin.FirstVersion)
	s.loop(ctx, "version", versionPause, func(*rand.Rand) {
		version++
		s.world.name(context.WithoutCancel(ctx), version)
	})
}

// kill kills control nodes and stagers.
func (s *series) kill(ctx context.Context) {
	victims := []struct {
		kind  string
		count int
		pause time.Duration
	}{{"control", s.world.size.control, controlPause}, {"stager", s.world.size.engines, stagerPause}}
	for _, v := range victims {
		s.loop(ctx, "kill "+v.kind, v.pause, func(r *rand.Rand) {
			s.stopOne(r, nameOf(v.kind, r.IntN(v.count)), syscall.SIGKILL)
		})
	}
}
