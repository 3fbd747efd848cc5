//go:build bench

// ================================================================
// Checks that no requests over keep-alive connections are lost while programs are restarted,
// reloaded and reconfigured. The test depends on wall-clock time and needs a machine with
// little other load, so it is run by hand: make lost SEED=1.
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

// maxUnanswered is how many requests over keep-alive connections may end without a response
// outside of planned stops.
const maxUnanswered = 3

// userTokens and userPrompt are the lengths of the users' responses and prompts, in tokens. A
// response takes an engine 0.4 to 4.5 s, and its prompt up to 0.2 s before that.
var userTokens, userPrompt = bounds{40, 480}, bounds{100, 3880}

// envNumber returns the number in an environment variable, or fallback if it is not set.
func envNumber(t *testing.T, variable string, fallback float64) float64 {
	text := os.Getenv(variable)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against responses that are cut off while programs are stopped gracefully.
func TestNothingIsLost(t *testing.T) {
	runFaultSeries(t).report(t)
}

// Guards against gateways that interrupt running streams, for instance for a stall or at the
// end of a version, even if the streams resume later.
func TestNoStreamUnderWayIsInterrupted(t *testing.T) {
	for why, n := range runFaultSeries(t).interrupted {
		if why != stopDeadline {
			t.Errorf("%d running streams were interrupted: %s", n, why)
		}
	}
}

// stopDeadline is the reason for which a gateway interrupts streams that still run at the end
// of its drain limit.
const stopDeadline = "stop deadline"

// runFaultSeries sends requests while the fault series run, and evaluates how they ended.
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
	faults := &faultInjector{cluster: cl, random: rand.New(rand.NewPCG(seed(t), 1)), counts: map[string]int{}, slowdown: envNumber(t, "TIDEPOST_SLOW", 1)}
	for _, series := range faultSeries {
		if selected := os.Getenv("TIDEPOST_SERIES"); selected == "" && !series.onlyNamed || strings.Contains(selected, series.name) {
			series.start(faults, ctx)
		}
	}
	streams := load * float64(cl.config.engines*engineFigures.Slots) / float64(cl.config.gateways)
	l := &keepAliveLoad{cluster: cl, streams: int(math.Round(streams)), plain: 8, pause: 200 * time.Millisecond}
	if os.Getenv("TIDEPOST_LONG") != "" {
		l.tokens, l.prompt = userTokens, userPrompt
	}
	l.run(ctx, seed(t))
	faults.running.Wait()
	v := cl.evaluate(l.finished, faults.stops)
	fmt.Printf("lost: seed %d, %.0f s, load %.2f, machine load %s; done %v; ends %v; unanswered outside stops %d, cut by planned stops %d, wrong %d; interrupted %v\n",
		seed(t), seconds, load, machineLoad(), faults.counts, v.ends, v.lostOutsideStops(), v.stopViolations(), len(v.wrongResponses), v.interrupted)
	return v
}

// burnCPU keeps some cores busy until the context ends.
func burnCPU(ctx context.Context, cores int) {
	for range cores {
		go func() {
			for ctx.Err() == nil {
			}
		}()
	}
}

// report prints each request that was cut off, and fails if there were more than allowed.
func (v verdict) report(t *testing.T) {
	for _, c := range v.cuts {
		fmt.Println("lost: " + c.reportLine())
	}
	if n := v.lostOutsideStops(); n > maxUnanswered {
		t.Errorf("%d requests over keep-alive connections ended without a response; at most %d are allowed", n, maxUnanswered)
	}
	if n := v.stopViolations(); n > 0 {
		t.Errorf("planned stops cut %d requests that they must not cut", n)
	}
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}

// countCuts returns how many of the cut requests match a condition.
func (v verdict) countCuts(matches func(cutRequest) bool) (n int) {
	for _, c := range v.cuts {
		if matches(c) {
			n++
		}
	}
	return n
}

// lostOutsideStops returns how many requests were left without a response while their gateway
// was not being stopped.
func (v verdict) lostOutsideStops() int {
	return v.countCuts(func(c cutRequest) bool { return c.lostResponse && c.stop == nil })
}

// stopViolations returns how many requests a planned stop cut though it must not.
func (v verdict) stopViolations() int {
	return v.countCuts(func(c cutRequest) bool { return c.cutByStop })
}
