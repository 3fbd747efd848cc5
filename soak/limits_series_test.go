//go:build bench

// ================================================================
// Whether limits that backend servers name are kept, and used, while gateways are rolled,
// killed, frozen and cut off from each other and control nodes and stagers are killed: some
// engines and plain servers, or all, name a limit, another one, something that is none, and
// nothing again. By hand, since it takes a clock: make limits SEED=1.
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
	// limitsSeconds is how long a run takes; TIDEPOST_SECONDS changes it.
	limitsSeconds = 30
	// limitPause is the mean time between two words of a server.
	limitPause = 4 * time.Second
	// Mean pauses between two kills, freezes and cuts of gateways, and how long the last two
	// take at the most.
	gatewayKillPause = 1500 * time.Millisecond
	freezePause      = 3 * time.Second
	cutPause         = 4 * time.Second
	longestFault     = 4 * time.Second
	// shortestUsed is how long a limit has to be named for its use to be counted.
	shortestUsed = 5 * time.Second
	// leastUsable and mostUsable bound the limits whose use is counted: of a lower one a
	// permit is more than a tenth, and an engine has no work for a higher one.
	leastUsable, mostUsable = 0.9, 5
	// leastUsed is how much of a limit is to be used where there is work for it.
	leastUsed = 0.8
)

// words are what servers say; an empty one ends what was said.
var words = []string{"1", "1.9", "3", "8", "0.2", "0", "25", "many", "-1", "NaN", "1e400", "", "", ""}

// limitSeries are what is done to gateways beside the other series.
var limitSeries = []struct {
	name  string
	start func(s *series, ctx context.Context)
}{
	{"fall", (*series).killGateways},
	{"freeze", (*series).freezeGateways},
	{"cut", (*series).cutGateways},
	{"hush", (*series).hushGateways},
	{"dark", (*series).endControl},
}

func TestServerLimitsUnderFaults(t *testing.T) {
	w := startWorld(t, size{
		control: 3, gateways: int(number(t, "TIDEPOST_GATEWAYS", 6)), engines: int(number(t, "TIDEPOST_ENGINES", 9)), plain: 6,
		plainTakes: 20 * time.Millisecond, within: rollWithin, notice: siteNotice, reserve: 100,
	}, logFolder(t))
	time.Sleep(worldIsUp)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(number(t, "TIDEPOST_SECONDS", limitsSeconds)*float64(time.Second)))
	defer cancel()
	s := &series{world: w, random: rand.New(rand.NewPCG(seed(t), 1)), done: map[string]int{}, pace: 1}
	some := w.inNeed(os.Getenv("TIDEPOST_ALL") != "")
	steady := os.Getenv("TIDEPOST_STEADY")
	if steady != "" {
		s.sayOnce(ctx, some, steady)
	} else {
		s.sayWords(ctx, some)
	}
	only := os.Getenv("TIDEPOST_SERIES")
	for _, one := range everySeries {
		if strings.Contains(only, one.name) {
			one.start(s, ctx)
		}
	}
	for _, one := range limitSeries {
		if strings.Contains(only, one.name) {
			one.start(s, ctx)
		}
	}
	streams := number(t, "TIDEPOST_LOAD", 0.8) * float64(w.size.engines*figures.Slots) / float64(w.size.gateways)
	l := &keptLoad{world: w, streams: int(streams + 0.5), plain: 8, pause: 50 * time.Millisecond}
	l.run(ctx, seed(t))
	s.under.Wait()
	w.reportLimits(t, some, w.judge(l.ended, s.stops), s.done)
}

// inNeed returns the servers that name limits: a third of each kind, or all.
func (w *world) inNeed(all bool) (some []inNeed) {
	for i := range w.engines {
		if all || i%zones == 0 {
			some = append(some, w.engineInNeed(i))
		}
	}
	for i := range w.plain {
		if all || i%zones == 0 {
			some = append(some, w.plainInNeed(i))
		}
	}
	return some
}

// sayWords has each server say one thing after the other.
func (s *series) sayWords(ctx context.Context, some []inNeed) {
	for _, one := range some {
		s.loop(ctx, "word", limitPause, func(r *rand.Rand) { one.need.Announce(words[r.IntN(len(words))]) })
	}
}

// sayOnce has all servers name one limit from the start, until a fifth of the time is left.
func (s *series) sayOnce(ctx context.Context, some []inNeed, text string) {
	deadline, _ := ctx.Deadline()
	for _, one := range some {
		one.need.Announce(text)
		s.under.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(deadline) * 4 / 5):
				one.need.Announce("")
			}
		})
	}
}

// reportLimits prints what became of the limits, and fails where one was passed.
func (w *world) reportLimits(t *testing.T, some []inNeed, v verdict, done map[string]int) {
	most, got, may := 0, 0.0, 0.0
	for _, s := range some {
		lines, count := w.breaks(s)
		most = max(most, count)
		for _, line := range lines {
			t.Errorf("%s", line)
		}
		for _, p := range periodsOf(s.need) {
			if seconds := (p.to.Sub(p.from) - useFrom).Seconds(); p.to.Sub(p.from) >= shortestUsed && p.perSecond >= leastUsable && p.perSecond <= mostUsable {
				got += used(s, p) * p.perSecond * seconds
				may += p.perSecond * seconds
			}
		}
	}
	share := 1.0
	if may > 0 {
		share = got / may
	}
	fmt.Printf("limits: seed %d, machine load %s; done %v; ends %v; most in %s %d; used %.2f of %.0f; cut by plan %d, wrong %d\n",
		seed(t), machineLoad(), done, v.ends, limitWindow, most, share, may, v.cutByPlan(), len(v.wrong))
	if os.Getenv("TIDEPOST_SERIES") == "" && share < leastUsed {
		t.Errorf("%.2f of the limits was used; %.2f is the aim", share, leastUsed)
	}
	for _, k := range v.wrong {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
	if n := v.ends[standin.TimedOut]; n > 0 {
		t.Errorf("%d requests had no answer at all", n)
	}
}

// used returns how much of a limit the gateways used, from useFrom after its naming on.
func used(s inNeed, p period) float64 {
	from := p.from.Add(useFrom)
	got := 0
	for _, a := range s.need.Arrivals() {
		if !a.At.Before(from) && a.At.Before(p.to) {
			got++
		}
	}
	return float64(got) / (p.perSecond * p.to.Sub(from).Seconds())
}

// killGateways kills one gateway after the other and starts it again.
func (s *series) killGateways(ctx context.Context) {
	s.loop(ctx, "fall", gatewayKillPause, func(r *rand.Rand) {
		s.stopOne(r, nameOf("gateway", r.IntN(s.world.size.gateways)), syscall.SIGKILL)
	})
}

// freezeGateways has one gateway after the other stand still.
func (s *series) freezeGateways(ctx context.Context) {
	s.loop(ctx, "freeze", freezePause, func(r *rand.Rand) {
		name := nameOf("gateway", r.IntN(s.world.size.gateways))
		if !s.take(name) {
			return
		}
		defer s.giveBack(name)
		s.world.programs.signal(name, syscall.SIGSTOP)
		time.Sleep(time.Duration(r.Float64() * float64(longestFault)))
		s.world.programs.signal(name, syscall.SIGCONT)
	})
}

// cutGateways cuts the gateways of one failure domain off from the others, while all reach
// the servers and the control nodes.
func (s *series) cutGateways(ctx context.Context) {
	s.loop(ctx, "cut", cutPause, func(r *rand.Rand) {
		away := zone(r.IntN(zones))
		for i, p := range s.world.links[gatewayVMs] {
			here := zone(i) == away
			p.Delay(func(dialer string) time.Duration {
				if (s.world.zoneOf(dialer) == away) != here {
					return 2 * longestFault
				}
				return 0
			})
		}
		time.Sleep(time.Duration(r.Float64() * float64(longestFault)))
		for _, p := range s.world.links[gatewayVMs] {
			p.Delay(nil)
		}
	})
}

// hushGateways makes the open links between gateways silent for good.
func (s *series) hushGateways(ctx context.Context) {
	s.loop(ctx, "hush", cutPause, func(*rand.Rand) {
		for _, p := range s.world.links[gatewayVMs] {
			p.Silence(faultproxy.Every, faultproxy.Manner{})
		}
	})
}

// endControl kills all control nodes for the rest of the run.
func (s *series) endControl(ctx context.Context) {
	s.under.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(limitPause):
		}
		for i := range s.world.size.control {
			s.world.programs.stop(nameOf("control", i), syscall.SIGKILL)
		}
	})
}

// zoneOf returns the failure domain of the gateway that dials a link; empty of none.
func (w *world) zoneOf(dialer string) string {
	for i := range w.size.gateways {
		if nameOf("gateway", i) == dialer {
			return zone(i)
		}
	}
	return ""
}
