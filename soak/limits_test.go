// ================================================================
// Guards against gateways that ignore the rate limits of backend servers. A server advertises
// its limit in its responses, to whichever gateway sent the request. When gateways only passed
// the limit on to callers, servers with limits of 1 and 1.9 requests a second got 18 and 23
// requests in 4 s, where 11 and 16 are allowed; this test measured 33 to 290 on that code.
// ================================================================

package soak

import (
	"context"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// limitClusterConfig is a cluster whose servers advertise limits, with more work than these
// allow.
var limitClusterConfig = clusterConfig{control: 3, gateways: 4, engines: 4, plain: 3, plainServiceTime: plainServiceTime, rolloutDeadline: longDeadline}

// Some servers advertise a limit, another one, a malformed one and then none. All gateways
// together keep to each limit without excluding the server, and a server without a limit gets
// as many requests as before.
func TestServerLimitIsKept(t *testing.T) {
	cl := startCluster(t, limitClusterConfig, logFolder(t))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &keepAliveLoad{cluster: cl, streams: 6, plain: 4, pause: 20 * time.Millisecond}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, seed(t))
	}()
	l.awaitResponses(8 * cl.config.gateways * (l.streams + l.plain))
	servers := []limitedServer{cl.limitedEngine(0), cl.limitedEngine(1), cl.limitedPlain(0)}
	for _, round := range [][]string{{"1.5", "1", "3"}, {"1", "0", "1"}, {"many", "-1", "1e400"}, {"", "", ""}} {
		for i, s := range servers {
			s.limit.Advertise(round[i])
		}
		time.Sleep(limitWindow + limitGrace)
	}
	for _, s := range servers {
		s.awaitLimitLifted(t)
	}
	cancel()
	<-done
	for _, s := range servers {
		lines, _ := cl.limitViolations(s)
		for _, line := range lines {
			t.Error(line)
		}
		texts := s.limit.Advertisements()
		if n := arrivalsBetween(s.limit, texts[0].From.Add(limitUseDelay), texts[2].From); n == 0 {
			t.Errorf("%s got no requests while it announced limits", s.name)
		}
	}
	v := cl.evaluate(l.finished, nil)
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
	if v.ends[standin.Succeeded] == 0 {
		t.Error("nothing was answered")
	}
}

// awaitLimitLifted waits until a server that no longer advertises a limit gets more requests in
// a window than its limits allowed.
func (s limitedServer) awaitLimitLifted(t *testing.T) {
	const timeout = time.Minute
	named := 0.0
	for _, p := range limitPeriods(s.limit) {
		named = max(named, p.perSecond)
	}
	start := time.Now()
	for float64(arrivalsBetween(s.limit, time.Now().Add(-limitWindow), time.Now())) <= limitFactor*limitWindow.Seconds()*named+limitSlack {
		if time.Since(start) > timeout {
			t.Fatalf("%s is still limited to %g requests a second though it announces no limit any more", s.name, named)
		}
		time.Sleep(time.Millisecond)
	}
}

func (cl *cluster) limitedEngine(i int) limitedServer {
	return limitedServer{cl.engines[i].Instance, &cl.engines[i].Limit}
}

func (cl *cluster) limitedPlain(i int) limitedServer {
	return limitedServer{cl.plain[i].Instance, &cl.plain[i].Limit}
}
