// ================================================================
// Checks the guarantees to callers when connections go silent, with a fixed seed and without
// measuring times.
// ================================================================

package soak

import (
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
	"github.com/tidepost/tidepost/platform/standin"
)

// defaultSeed is the seed of runs without TIDEPOST_SEED.
const defaultSeed = 20261202

func seed(t *testing.T) uint64 {
	text := os.Getenv("TIDEPOST_SEED")
	if text == "" {
		return defaultSeed
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

const (
	// requestsPerPhase requests are sent in each phase of the run. inFlightRequests of them
	// run at plain servers when connections go silent; plainServiceTime is long enough for
	// that.
	requestsPerPhase = 30
	inFlightRequests = 8
	plainServiceTime = 250 * time.Millisecond
)

// All connections go silent twice, the second time in the middle of messages, during a rollout
// of new weights. Every caller is served in the end, every engine serves the new version, and
// no guarantee to callers is violated.
func TestServiceContinuesAfterSilence(t *testing.T) {
	cl := startCluster(t, clusterConfig{control: 3, gateways: 2, engines: 3, plain: 2, plainServiceTime: plainServiceTime, rolloutDeadline: 2 * time.Second}, logFolder(t))
	l := newLoad(cl, seed(t), 0)
	ctx := t.Context()
	l.send(ctx, requestsPerPhase)
	const next = standin.FirstVersion + 1
	cl.nameVersion(ctx, next)
	l.send(ctx, requestsPerPhase/2)
	// Some requests run at a server when the connections go silent: the responses to those
	// that must not run again are lost.
	l.sendUnsafe(ctx, inFlightRequests)
	silenced := cl.silence(connectionKinds, faultproxy.SilenceOptions{})
	l.send(ctx, requestsPerPhase)
	l.sendUnsafe(ctx, inFlightRequests)
	silenced = append(silenced, cl.silence(connectionKinds, faultproxy.SilenceOptions{Midway: true})...)
	l.send(ctx, requestsPerPhase)
	l.inFlight.Wait()
	cl.awaitVersionServed(next)
	if len(silenced) == 0 {
		t.Fatal("no connection went silent")
	}
	checkGuarantees(t, cl, l.finished())
	// Later callers are served too.
	later := newLoad(cl, seed(t)+1, 0)
	later.drawn = math.MaxInt32
	later.send(ctx, requestsPerPhase)
	later.inFlight.Wait()
	checkGuarantees(t, cl, later.finished())
}

// awaitVersionServed waits until every engine serves a version, or until the test times out.
func (cl *cluster) awaitVersionServed(version uint64) {
	for _, e := range cl.engines {
		for e.ServedVersion() != version {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// checkGuarantees checks the guarantees to every caller: it is served, unless its request may
// have run and must not run again, and no request that must run at most once runs twice.
func checkGuarantees(t *testing.T, cl *cluster, results []standin.Result) {
	t.Helper()
	if len(results) == 0 {
		t.Fatal("no requests were sent")
	}
	for _, a := range results {
		if a.Mismatch != "" {
			t.Errorf("%s: %s", a.Request.ID, a.Mismatch)
		}
		if !a.Complete && !a.OutcomeUnknown {
			t.Errorf("%s (%s) was not served: %+v", a.Request.ID, a.Request.Kind, a.Attempts)
		}
		runs := 0
		for _, attempt := range a.Attempts {
			n := cl.runLog.Runs(attempt.ID)
			runs += n
			if attempt.RefusalStatus != 0 && n > 0 {
				t.Errorf("%s was refused with %d and ran %d times", attempt.ID, attempt.RefusalStatus, n)
			}
		}
		if a.Request.Kind == standin.Unsafe && runs > 1 {
			t.Errorf("%s must run at most once and ran %d times: %+v", a.Request.ID, runs, a.Attempts)
		}
		if a.Complete && runs == 0 {
			t.Errorf("%s was answered and never ran", a.Request.ID)
		}
	}
}
