// ================================================================
// Guards against planned stops of gateways that cut off streams of 0.4 to 4.5 s over keep-alive
// connections. A caller whose stream began before the signal cannot learn that its connection
// closes, and sends its next request late in the stop. If the gateway starts that request, it
// exits 7.7 s after the signal in the middle of the stream. An estimate of the duration does
// not prevent that: it covers neither services other than engines nor engines that have just
// become slower. pkg/gateway tests the individual cases.
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

// userDrainNotice is how long the users' gateways still accept requests after the signal.
const userDrainNotice = 3 * time.Second

// TestStopOfAllGatewaysCutsNothing stops all gateways at one moment. During the stop it
// reloads all programs, changes the configuration, names a new version of the weights and
// repeats the signal.
func TestStopOfAllGatewaysCutsNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		streams  int // at each gateway
		tokens   bounds
		slowdown float64 // of the engines, from the signal on
	}{
		{"answers as long as the users'", 18, bounds{160, 480}, 1},
		{"engines that become slower", 6, bounds{100, 120}, 4.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := startCluster(t, clusterConfig{control: 3, gateways: 2, engines: 3, plain: 2, plainServiceTime: plainServiceTime, rolloutDeadline: longDeadline, drainNotice: userDrainNotice}, logFolder(t))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l := &keepAliveLoad{cluster: cl, streams: c.streams, plain: 2, pause: 20 * time.Millisecond, tokens: c.tokens}
			done := make(chan struct{})
			go func() {
				defer close(done)
				l.run(ctx, seed(t))
			}()
			l.awaitResponses(4 * (l.streams + l.plain))
			stops := cl.stopAllGateways(t, c.slowdown)
			cancel()
			<-done
			checkStop(t, cl.evaluate(l.finished, stops))
		})
	}
}

// awaitResponses waits until count requests have ended.
func (l *keepAliveLoad) awaitResponses(count int) {
	for answered := 0; answered < count; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		answered = len(l.finished)
		l.mu.Unlock()
	}
}

// stopAllGateways stops all gateways while the engines are slow, with the operations of
// TestStopOfAllGatewaysCutsNothing during the stop, and starts them again.
func (cl *cluster) stopAllGateways(t *testing.T, slowdown float64) (stops []stopSpan) {
	cl.slowEngines(slowdown)
	defer cl.slowEngines(1)
	var exits []<-chan struct{}
	for i := range cl.config.gateways {
		stops = append(stops, stopSpan{gateway: cl.address(gatewayVMs, i, callersPort), from: time.Now()})
		exits = append(exits, cl.programs.requestStop(nameOf("gateway", i), syscall.SIGTERM))
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
		<-exits[i]
		stops[i].to = time.Now()
		cl.programs.restart(nameOf("gateway", i))
	}
	for i := range stops {
		cl.awaitServing(i)
	}
	return stops
}

// slowEngines makes all engines take longer by a factor.
func (cl *cluster) slowEngines(slowdown float64) {
	for _, e := range cl.engines {
		e.SetSlowdown(slowdown)
	}
}

// checkStop checks that a stop cut only requests that it may cut, and that a gateway's log gives
// the cause of each cut.
func checkStop(t *testing.T, v verdict) {
	t.Helper()
	for _, c := range v.cuts {
		if c.cutByStop || c.lostResponse {
			t.Errorf("%s", c.reportLine())
		}
		if c.stop != nil && c.ran > 0 && !slices.ContainsFunc(c.logLines, namesCutCause) {
			t.Errorf("no log line gives the cause of the cut: %s", c.reportLine())
		}
	}
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}
