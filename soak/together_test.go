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
	togetherPause = 3 * time.Second
	othersPause   = 6 * time.Second
	// signalsWithin is how far apart the signals of one stop are.
	signalsWithin = 1500 * time.Millisecond
	// A second signal comes within these after the first.
	againSoonest, againLatest = 500 * time.Millisecond, 3500 * time.Millisecond
	// soonAfterStart is how soon after a start the next stop may come.
	soonAfterStart = 1200 * time.Millisecond
)

// stopTogether stops the gateways of one VM, of a failure domain or all of them within
// signalsWithin, starts them again, and stops some of them once more just after.
func (s *series) stopTogether(ctx context.Context) {
	s.loop(ctx, "together", togetherPause, func(r *rand.Rand) {
		s.world.slowEngines(s.pace)
		defer s.world.slowEngines(1)
		for _, back := range s.stopSome(r) {
			<-back
		}
	})
}

// scopes tell whether a gateway is stopped together with the first one that was drawn.
var scopes = []func(gateway, first int) bool{
	func(gateway, first int) bool { return gateway == first },
	func(gateway, first int) bool { return zone(gateway) == zone(first) },
	func(int, int) bool { return true },
}

// stopSome stops some gateways, and returns what closes when each is back.
func (s *series) stopSome(r *rand.Rand) (back []<-chan struct{}) {
	stopsWith, first := scopes[r.IntN(len(scopes))], r.IntN(s.world.size.gateways)
	for i := range s.world.size.gateways {
		if !stopsWith(i, first) || !s.take(nameOf("gateway", i)) {
			continue
		}
		one := &stopAndStart{series: s, gateway: i, random: rand.New(rand.NewPCG(r.Uint64(), r.Uint64())), back: make(chan struct{})}
		back = append(back, one.back)
		go one.run()
	}
	return back
}

// stopAndStart stops one gateway, perhaps with a second signal, and starts it again, perhaps
// to be stopped once more at once.
type stopAndStart struct {
	series  *series
	gateway int
	random  *rand.Rand
	back    chan struct{}
}

func (o *stopAndStart) run() {
	name := nameOf("gateway", o.gateway)
	defer close(o.back)
	defer o.series.giveBack(name)
	o.sleep(0, signalsWithin)
	o.stop(name)
	o.sleep(0, longestDown)
	o.series.world.programs.again(name)
	if o.random.IntN(2) == 0 {
		o.sleep(0, soonAfterStart)
		o.stop(name)
		o.series.world.programs.again(name)
	}
}

// stop stops the gateway, and sends half of the time a second signal meanwhile.
func (o *stopAndStart) stop(name string) {
	w := o.series.world
	one := span{gateway: w.at(gatewayVMs, o.gateway, callersPort), from: time.Now()}
	gone := w.programs.ask(name, syscall.SIGTERM)
	if o.random.IntN(2) == 0 {
		o.sleep(againSoonest, againLatest)
		// It may be gone by then.
		_ = w.programs.named(name).cmd.Process.Signal(syscall.SIGTERM)
	}
	<-gone
	one.to = time.Now()
	o.series.mu.Lock()
	defer o.series.mu.Unlock()
	o.series.stops = append(o.series.stops, one)
}

// sleep sleeps for a time between two.
func (o *stopAndStart) sleep(least, most time.Duration) {
	time.Sleep(least + time.Duration(o.random.Float64()*float64(most-least)))
}

// stopOthers stops control nodes and stagers in order, and starts them again.
func (s *series) stopOthers(ctx context.Context) {
	for _, kind := range []struct {
		name  string
		count int
	}{{"control", s.world.size.control}, {"stager", s.world.size.engines}} {
		s.loop(ctx, "stop "+kind.name, othersPause, func(r *rand.Rand) {
			s.stopOne(r, nameOf(kind.name, r.IntN(kind.count)), syscall.SIGTERM)
		})
	}
}
