//go:build bench

// ================================================================
// Stops in order of many programs at one moment: gateways of one failure domain or of all,
// soon after they have started, and again while they are being stopped; control nodes and
// stagers beside them. Callers go on with open connections until a process is gone.
// ================================================================

package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	simultaneousStopPause = 3 * time.Second
	otherStopPause        = 6 * time.Second
	// signalSpread is how far apart the signals of one stop are.
	signalSpread = 1500 * time.Millisecond
	// A second signal comes within these after the first.
	minSecondSignalDelay, maxSecondSignalDelay = 500 * time.Millisecond, 3500 * time.Millisecond
	// maxStopAfterStart is how soon after a start the next stop may come.
	maxStopAfterStart = 1200 * time.Millisecond
)

// stopSimultaneously stops the gateways of one VM, of a failure domain or all of them within
// signalsWithin, starts them again, and stops some of them once more just after.
func (s *faultInjector) stopSimultaneously(ctx context.Context) {
	s.repeat(ctx, "together", simultaneousStopPause, func(r *rand.Rand) {
		s.cluster.slowEngines(s.slowdown)
		defer s.cluster.slowEngines(1)
		for _, back := range s.stopGateways(r) {
			<-back
		}
	})
}

// stopScopes tell whether a gateway is stopped together with the first one that was drawn.
var stopScopes = []func(gateway, first int) bool{
	func(gateway, first int) bool { return gateway == first },
	func(gateway, first int) bool { return failureDomain(gateway) == failureDomain(first) },
	func(int, int) bool { return true },
}

// stopGateways stops some gateways, and returns what closes when each is back.
func (s *faultInjector) stopGateways(r *rand.Rand) (back []<-chan struct{}) {
	stopsWith, first := stopScopes[r.IntN(len(stopScopes))], r.IntN(s.cluster.config.gateways)
	for i := range s.cluster.config.gateways {
		if !stopsWith(i, first) || !s.acquire(nameOf("gateway", i)) {
			continue
		}
		one := &stopAndStart{faults: s, gateway: i, random: rand.New(rand.NewPCG(r.Uint64(), r.Uint64())), restarted: make(chan struct{})}
		back = append(back, one.restarted)
		go one.run()
	}
	return back
}

// stopAndStart stops one gateway, perhaps with a second signal, and starts it again, perhaps
// to be stopped once more at once.
type stopAndStart struct {
	faults    *faultInjector
	gateway   int
	random    *rand.Rand
	restarted chan struct{}
}

func (o *stopAndStart) run() {
	name := nameOf("gateway", o.gateway)
	defer close(o.restarted)
	defer o.faults.release(name)
	o.sleep(0, signalSpread)
	o.stop(name)
	o.sleep(0, maxDowntime)
	o.faults.cluster.programs.restart(name)
	if o.random.IntN(2) == 0 {
		o.sleep(0, maxStopAfterStart)
		o.stop(name)
		o.faults.cluster.programs.restart(name)
	}
}

// stop stops the gateway, and sends half of the time a second signal meanwhile.
func (o *stopAndStart) stop(name string) {
	cl := o.faults.cluster
	one := stopSpan{gateway: cl.address(gatewayVMs, o.gateway, callersPort), from: time.Now()}
	gone := cl.programs.requestStop(name, syscall.SIGTERM)
	if o.random.IntN(2) == 0 {
		o.sleep(minSecondSignalDelay, maxSecondSignalDelay)
		// It may be gone by then.
		_ = cl.programs.lookup(name).cmd.Process.Signal(syscall.SIGTERM)
	}
	<-gone
	one.to = time.Now()
	o.faults.mu.Lock()
	defer o.faults.mu.Unlock()
	o.faults.stops = append(o.faults.stops, one)
}

// sleep sleeps for a time between two.
func (o *stopAndStart) sleep(least, most time.Duration) {
	time.Sleep(least + time.Duration(o.random.Float64()*float64(most-least)))
}

// stopControlNodesAndStagers stops control nodes and stagers in order, and starts them again.
func (s *faultInjector) stopControlNodesAndStagers(ctx context.Context) {
	for _, kind := range []struct {
		name  string
		count int
	}{{"control", s.cluster.config.control}, {"stager", s.cluster.config.engines}} {
		s.repeat(ctx, "stop "+kind.name, otherStopPause, func(r *rand.Rand) {
			s.stopAndRestart(r, nameOf(kind.name, r.IntN(kind.count)), syscall.SIGTERM)
		})
	}
}
