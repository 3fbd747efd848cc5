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

// maxUnanswered is how many requests over kept connections may end without an answer
// outside of planned stops.
const maxUnanswered = 3

// userTokens and sitePrompt are how long the users' answers and prompts are: 0.4 to 4.5 s at
// an engine, and up to 0.2 s before.
var userTokens, userPrompt = bounds{40, 480}, bounds{100, 3880}

// envNumber is what a variable says.
func envNumber(t *testing.T, variable string, standard float64) float64 {
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
	runFaultSeries(t).report(t)
}

// Guards against streams that a guard of their gateway interrupts, whatever becomes of them later.
func TestNoStreamUnderWayIsInterrupted(t *testing.T) {
	for why, n := range runFaultSeries(t).interrupted {
		if why != stopDeadline {
			t.Errorf("%d streams under way were interrupted: %s", n, why)
		}
	}
}

// stopDeadline is why a gateway interrupts what still runs when the time for its stop is over.
const stopDeadline = "stop deadline"

// runFaultSeries has callers send requests while the series go on, and judges how they ended.
func runFaultSeries(t *testing.T) verdict {
	load := envNumber(t, "TIDEPOST_LOAD", 1)
	cl := startCluster(t, clusterConfig{
		control: 3, gateways: int(envNumber(t, "TIDEPOST_GATEWAYS", 3)), engines: int(envNumber(t, "TIDEPOST_ENGINES", 6)),
		plain: 3, plainServiceTime: time.Duration(envNumber(t, "TIDEPOST_PLAIN_MS", 20)) * time.Millisecond, rolloutDeadline: longRolloutDeadline, drainNotice: userDrainNotice,
		retryReserve: int(envNumber(t, "TIDEPOST_RESERVE", defaultRetryReserve)),
	}, logFolder(t))
	time.Sleep(startupWait)
	seconds := envNumber(t, "TIDEPOST_SECONDS", 60)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	burnCPU(ctx, int(envNumber(t, "TIDEPOST_BUSY", 0)))
	s := &faultInjector{cluster: cl, random: rand.New(rand.NewPCG(seed(t), 1)), counts: map[string]int{}, slowdown: envNumber(t, "TIDEPOST_SLOW", 1)}
	for _, one := range faultSeries {
		if only := os.Getenv("TIDEPOST_SERIES"); only == "" && !one.onlyNamed || strings.Contains(only, one.name) {
			one.start(s, ctx)
		}
	}
	streams := load * float64(cl.config.engines*engineFigures.Slots) / float64(cl.config.gateways)
	l := &keepAliveLoad{cluster: cl, streams: int(math.Round(streams)), plain: 8, pause: 200 * time.Millisecond}
	if os.Getenv("TIDEPOST_LONG") != "" {
		l.tokens, l.prompt = userTokens, userPrompt
	}
	l.run(ctx, seed(t))
	s.running.Wait()
	v := cl.evaluate(l.finished, s.stops)
	fmt.Printf("lost: seed %d, %.0f s, load %.2f, machine load %s; done %v; ends %v; unanswered alone %d, cut by plan %d, wrong %d; interrupted %v\n",
		seed(t), seconds, load, machineLoad(), s.counts, v.ends, v.lostOutsideStops(), v.stopViolations(), len(v.wrongAnswers), v.interrupted)
	return v
}

// burnCPU works in vain on some cores until the context ends.
func burnCPU(ctx context.Context, cores int) {
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
		fmt.Println("lost: " + c.reportLine())
	}
	if n := v.lostOutsideStops(); n > maxUnanswered {
		t.Errorf("%d requests over kept connections ended without an answer; %d may", n, maxUnanswered)
	}
	if n := v.stopViolations(); n > 0 {
		t.Errorf("planned stops cut %d requests that they may not", n)
	}
	for _, k := range v.wrongAnswers {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}

// countCuts returns how many of the cut requests satisfy a condition.
func (v verdict) countCuts(holds func(cutRequest) bool) (n int) {
	for _, c := range v.cuts {
		if holds(c) {
			n++
		}
	}
	return n
}

// lostOutsideStops are those left without an answer while nothing was done to their gateway.
func (v verdict) lostOutsideStops() int {
	return v.countCuts(func(c cutRequest) bool { return c.lostAnswer && c.stop == nil })
}

// stopViolations are those that planned work cut and may not.
func (v verdict) stopViolations() int {
	return v.countCuts(func(c cutRequest) bool { return c.cutByStop })
}
