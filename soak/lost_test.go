//go:build bench

// ================================================================
// Whether requests over kept connections are lost while the programs are rolled,
// reloaded and reconfigured. By hand, since it takes a clock and a machine that is
// not too busy: make lost SEED=1.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// mostUnanswered is how many requests over kept connections may end without an answer
// outside of planned stops.
const mostUnanswered = 3

// siteTokens and sitePrompt are how long the users' answers and prompts are: 0.4 to 4.5 s at
// an engine, and up to 0.2 s before.
var siteTokens, sitePrompt = bounds{40, 480}, bounds{100, 3880}

// number is what a variable says.
func number(t *testing.T, variable string, standard float64) float64 {
	text := os.Getenv(variable)
	if text == "" {
		return standard
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against answers that end without their rest while programs are stopped in order.
func TestNothingIsLost(t *testing.T) {
	playSeries(t).report(t)
}

// Guards against streams that a guard of their gateway interrupts, whatever becomes of them later.
func TestNoStreamUnderWayIsInterrupted(t *testing.T) {
	for why, n := range playSeries(t).interrupted {
		if why != stopDeadline {
			t.Errorf("%d streams under way were interrupted: %s", n, why)
		}
	}
}

// stopDeadline is why a gateway interrupts what still runs when the time for its stop is over.
const stopDeadline = "stop deadline"

// playSeries has callers send requests while the series go on, and judges how they ended.
func playSeries(t *testing.T) verdict {
	load := number(t, "TIDEPOST_LOAD", 1)
	w := startWorld(t, size{
		control: 3, gateways: int(number(t, "TIDEPOST_GATEWAYS", 3)), engines: int(number(t, "TIDEPOST_ENGINES", 6)),
		plain: 3, plainTakes: time.Duration(number(t, "TIDEPOST_PLAIN_MS", 20)) * time.Millisecond, within: rollWithin, notice: siteNotice,
		reserve: int(number(t, "TIDEPOST_RESERVE", usualReserve)),
	}, logFolder(t))
	time.Sleep(worldIsUp)
	seconds := number(t, "TIDEPOST_SECONDS", 60)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	beBusy(ctx, int(number(t, "TIDEPOST_BUSY", 0)))
	s := &series{world: w, random: rand.New(rand.NewPCG(seed(t), 1)), done: map[string]int{}, pace: number(t, "TIDEPOST_SLOW", 1)}
	for _, one := range everySeries {
		if only := os.Getenv("TIDEPOST_SERIES"); only == "" && !one.onlyNamed || strings.Contains(only, one.name) {
			one.start(s, ctx)
		}
	}
	streams := load * float64(w.size.engines*figures.Slots) / float64(w.size.gateways)
	l := &keptLoad{world: w, streams: int(math.Round(streams)), plain: 8, pause: 200 * time.Millisecond}
	if os.Getenv("TIDEPOST_LONG") != "" {
		l.tokens, l.prompt = siteTokens, sitePrompt
	}
	l.run(ctx, seed(t))
	s.under.Wait()
	v := w.judge(l.ended, s.stops)
	fmt.Printf("lost: seed %d, %.0f s, load %.2f, machine load %s; done %v; ends %v; unanswered alone %d, cut by plan %d, wrong %d; interrupted %v\n",
		seed(t), seconds, load, machineLoad(), s.done, v.ends, v.leftAlone(), v.cutByPlan(), len(v.wrong), v.interrupted)
	return v
}

// beBusy works in vain on some cores until the context ends.
func beBusy(ctx context.Context, cores int) {
	for range cores {
		go func() {
			for ctx.Err() == nil {
			}
		}()
	}
}

// report prints each request that was cut, and fails where more were than may.
func (v verdict) report(t *testing.T) {
	for _, c := range v.cuts {
		fmt.Println("lost: " + c.line())
	}
	if n := v.leftAlone(); n > mostUnanswered {
		t.Errorf("%d requests over kept connections ended without an answer; %d may", n, mostUnanswered)
	}
	if n := v.cutByPlan(); n > 0 {
		t.Errorf("planned stops cut %d requests that they may not", n)
	}
	for _, k := range v.wrong {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}

// count returns how many of the cut requests satisfy a condition.
func (v verdict) count(holds func(cut) bool) (n int) {
	for _, c := range v.cuts {
		if holds(c) {
			n++
		}
	}
	return n
}

// leftAlone are those left without an answer while nothing was done to their gateway.
func (v verdict) leftAlone() int {
	return v.count(func(c cut) bool { return c.leftAlone && c.stop == nil })
}

// cutByPlan are those that planned work cut and may not.
func (v verdict) cutByPlan() int { return v.count(func(c cut) bool { return c.cutByPlan }) }
