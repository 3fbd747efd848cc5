// ================================================================
// What was seen: streams of 0.4 to 4.5 s that callers had sent over kept connections ended
// without a whole answer around the planned stop of their gateways, and the gateways said
// that the callers had left. How it comes about: a caller whose stream began before the
// signal cannot be told that its connection closes, and sends its next request late in the
// stop; the gateway begins it, and ends 7.7 s after the signal with the stream half out.
// What caused it: a stop asked an estimate whether a request would be over in time, and the
// estimate knows neither services that are no engines nor engines that have just become
// slower. What proved it: these two runs of the real programs, and the cases of
// TestStopBeginsNothingThatItMayCut one by one.
//
// Seen once in some runs beside load: `nobody says who cut it` of a stream that ended at its
// caller's deadline. How: the gateway's log had the line, 0.2 ms before the caller saw the end,
// and the test had read the log without it. Cause: lines wait in a queue of the program for
// 20 ms, and the verdict came sooner. What proved it: the log that such a run left. Now the
// programs have ended before their logs are read.
// ================================================================

package soak

import (
	"context"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// userDrainNotice is how long the users' gateways take callers after the signal.
const userDrainNotice = 3 * time.Second

// TestStopOfAllGatewaysCutsNothing stops all gateways at one moment, tells all programs to reload,
// puts a configuration, names a version and sends the signal once more, all within the stop.
func TestStopOfAllGatewaysCutsNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		streams int // at each gateway
		tokens  bounds
		pace    float64 // of the engines from the signal on
	}{
		{"answers as long as the sites'", 18, bounds{160, 480}, 1},
		{"engines that become slower", 6, bounds{100, 120}, 4.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := startCluster(t, clusterConfig{control: 3, gateways: 2, engines: 3, plain: 2, plainServiceTime: plainServiceTime, rolloutDeadline: longDeadline, drainNotice: userDrainNotice}, logFolder(t))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l := &keepAliveLoad{cluster: cl, streams: c.streams, plain: 2, pause: 20 * time.Millisecond, tokens: c.tokens}
			over := make(chan struct{})
			go func() {
				defer close(over)
				l.run(ctx, seed(t))
			}()
			l.awaitAnswers(4 * (l.streams + l.plain))
			stops := cl.stopAllGateways(t, c.pace)
			cancel()
			<-over
			checkStop(t, cl.evaluate(l.finished, stops))
		})
	}
}

// awaitAnswers waits until so many requests were answered.
func (l *keepAliveLoad) awaitAnswers(count int) {
	for answered := 0; answered < count; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		answered = len(l.finished)
		l.mu.Unlock()
	}
}

// stopAllGateways stops all gateways while the engines are slow and the programs are told
// several things more, and starts them again.
func (cl *cluster) stopAllGateways(t *testing.T, pace float64) (stops []stopSpan) {
	cl.slowEngines(pace)
	defer cl.slowEngines(1)
	var gone []<-chan struct{}
	for i := range cl.config.gateways {
		stops = append(stops, stopSpan{gateway: cl.address(gatewayVMs, i, callersPort), from: time.Now()})
		gone = append(gone, cl.programs.requestStop(nameOf("gateway", i), syscall.SIGTERM))
	}
	for _, name := range cl.programs.names() {
		cl.programs.signal(name, syscall.SIGHUP)
	}
	cl.must(cl.operator.Reconfigure(t.Context(), engineFigures, standin.ConfigurationChange{Version: 2, ExtraRoutes: extraRoutesInCI}))
	cl.nameVersion(t.Context(), standin.FirstVersion+1)
	for i := range cl.config.gateways {
		cl.programs.signal(nameOf("gateway", i), syscall.SIGTERM)
	}
	for i := range stops {
		<-gone[i]
		stops[i].to = time.Now()
		cl.programs.restart(nameOf("gateway", i))
	}
	for i := range stops {
		cl.awaitServing(i)
	}
	return stops
}

// slowEngines has all engines take so many times as long as their figures say.
func (cl *cluster) slowEngines(pace float64) {
	for _, e := range cl.engines {
		e.SetSlowdown(pace)
	}
}

// checkStop checks that a stop cut nothing that it may not, and that whatever was cut is
// told by whom.
func checkStop(t *testing.T, v verdict) {
	t.Helper()
	for _, c := range v.cuts {
		if c.cutByStop || c.lostAnswer {
			t.Errorf("%s", c.reportLine())
		}
		if c.stop != nil && c.ran > 0 && !slices.ContainsFunc(c.logLines, namesCutCause) {
			t.Errorf("nobody says who cut it: %s", c.reportLine())
		}
	}
	for _, k := range v.wrongAnswers {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}
