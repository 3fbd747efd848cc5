//go:build bench

// ================================================================
// Graceful stops of many programs at the same time: gateways of one failure domain or all of
// them, some shortly after their start and some with a second signal during the stop, besides
// control nodes and stagers. Callers keep using their connections until a process has exited.
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
	// signalSpread is the longest time between the signals of one simultaneous stop.
	signalSpread = 1500 * time.Millisecond
	// Bounds of the delay of a second signal after the first.
	minSecondSignalDelay, maxSecondSignalDelay = 500 * time.Millisecond, 3500 * time.Millisecond
	// maxStopAfterStart is the longest time from a start to an immediate next stop.
	maxStopAfterStart = 1200 * time.Millisecond
)

// stopSimultaneously repeatedly stops one gateway, those of a failure domain or all of them
// within signalSpread, starts them again, and stops some of them once more shortly after.
func (f *faultInjector) stopSimultaneously(ctx context.Context) {
	f.repeat(ctx, "together", simultaneousStopPause, func(r *rand.Rand) {
		f.cluster.slowEngines(f.slowdown)
		defer f.cluster.slowEngines(1)
		for _, restarted := range f.stopGateways(r) {
			<-restarted
		}
	})
}

// stopScopes report whether a gateway is stopped together with the first one that was drawn:
// only itself, its failure domain, or all gateways.
var stopScopes = []func(gateway, first int) bool{
	func(gateway, first int) bool { return gateway == first },
	func(gateway, first int) bool { return failureDomain(gateway) == failureDomain(first) },
	func(int, int) bool { return true },
}

// stopGateways stops some gateways, and returns a channel for each that is closed when it has
// been restarted.
func (f *faultInjector) stopGateways(r *rand.Rand) (restarted []<-chan struct{}) {
	stopsWith, first := stopScopes[r.IntN(len(stopScopes))], r.IntN(f.cluster.config.gateways)
	for i := range f.cluster.config.gateways {
		if !stopsWith(i, first) || !f.acquire(nameOf("gateway", i)) {
			continue
		}
		stop := &stopAndStart{faults: f, gateway: i, random: rand.New(rand.NewPCG(r.Uint64(), r.Uint64())), restarted: make(chan struct{})}
		restarted = append(restarted, stop.restarted)
		go stop.run()
	}
	return restarted
}

// stopAndStart stops one gateway, in half of the cases with a second signal, and restarts it, in
// half of the cases with another stop shortly after.
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

// stop stops the gateway, in half of the cases with a second signal during the stop.
func (o *stopAndStart) stop(name string) {
	cl := o.faults.cluster
	window := stopSpan{gateway: cl.address(gatewayVMs, o.gateway, callersPort), from: time.Now()}
	exited := cl.programs.requestStop(name, syscall.SIGTERM)
	if o.random.IntN(2) == 0 {
		o.sleep(minSecondSignalDelay, maxSecondSignalDelay)
		// The gateway may have exited, so the error is ignored.
		_ = cl.programs.lookup(name).cmd.Process.Signal(syscall.SIGTERM)
	}
	<-exited
	window.to = time.Now()
	o.faults.mu.Lock()
	defer o.faults.mu.Unlock()
	o.faults.stops = append(o.faults.stops, window)
}

// sleep sleeps for a random time within bounds.
func (o *stopAndStart) sleep(shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(o.random.Float64()*float64(longest-shortest)))
}

// stopControlNodesAndStagers repeatedly stops control nodes and stagers gracefully and starts
// them again.
func (f *faultInjector) stopControlNodesAndStagers(ctx context.Context) {
	for _, kind := range []struct {
		name  string
		count int
	}{{"control", f.cluster.config.control}, {"stager", f.cluster.config.engines}} {
		f.repeat(ctx, "stop "+kind.name, otherStopPause, func(r *rand.Rand) {
			f.stopAndRestart(r, nameOf(kind.name, r.IntN(kind.count)), syscall.SIGTERM)
		})
	}
}
