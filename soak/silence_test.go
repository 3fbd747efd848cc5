// ================================================================
// What holds when connections go silent, with a fixed seed and without a clock.
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

// defaultSeed is that of every run that names none.
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
	// requestsPerPhase are sent in each part of the run, and underWay are those that a plain
	// server runs when connections go silent. It takes long enough for that.
	requestsPerPhase = 30
	inFlightRequests = 8
	plainServiceTime = 250 * time.Millisecond
)

// All connections go silent, twice, in the middle of messages the second time.
// Meanwhile new weights spread. Every caller is served in the end, every engine
// serves the new version, and no promise is broken.
func TestServiceGoesOnAfterSilence(t *testing.T) {
	cl := startCluster(t, clusterConfig{control: 3, gateways: 2, engines: 3, plain: 2, plainServiceTime: plainServiceTime, rolloutDeadline: 2 * time.Second}, logFolder(t))
	l := newLoad(cl, seed(t), 0)
	ctx := t.Context()
	l.send(ctx, requestsPerPhase)
	const next = standin.FirstVersion + 1
	cl.nameVersion(ctx, next)
	l.send(ctx, requestsPerPhase/2)
	// Some run at a server when the silence falls: the answer to what may not run
	// again is lost.
	l.sendUnsafe(ctx, inFlightRequests)
	silent := cl.silence(connectionKinds, faultproxy.Manner{})
	l.send(ctx, requestsPerPhase)
	l.sendUnsafe(ctx, inFlightRequests)
	silent = append(silent, cl.silence(connectionKinds, faultproxy.Manner{Midway: true})...)
	l.send(ctx, requestsPerPhase)
	l.inFlight.Wait()
	cl.awaitVersionServed(next)
	if len(silent) == 0 {
		t.Fatal("no connection went silent")
	}
	checkGuarantees(t, cl, l.finished())
	// Callers that come afterwards are served too.
	after := newLoad(cl, seed(t)+1, 0)
	after.drawn = math.MaxInt32
	after.send(ctx, requestsPerPhase)
	after.inFlight.Wait()
	checkGuarantees(t, cl, after.finished())
}

// awaitVersionServed waits until every engine serves a version; the test's own limit bounds
// it.
func (cl *cluster) awaitVersionServed(version uint64) {
	for _, e := range cl.engines {
		for e.ServedVersion() != version {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// checkGuarantees checks what every caller was promised. Each is served, but for the
// requests that may have run and must not run again.
func checkGuarantees(t *testing.T, cl *cluster, answers []standin.Result) {
	t.Helper()
	if len(answers) == 0 {
		t.Fatal("nothing was asked")
	}
	for _, a := range answers {
		if a.Mismatch != "" {
			t.Errorf("%s: %s", a.Request.ID, a.Mismatch)
		}
		if !a.Complete && !a.OutcomeUnknown {
			t.Errorf("%s (%s) was not served: %+v", a.Request.ID, a.Request.Kind, a.Attempts)
		}
		runs := 0
		for _, try := range a.Attempts {
			n := cl.ledger.Runs(try.ID)
			runs += n
			if try.RefusalStatus != 0 && n > 0 {
				t.Errorf("%s was refused with %d and ran %d times", try.ID, try.RefusalStatus, n)
			}
		}
		if a.Request.Kind == standin.Unsafe && runs > 1 {
			t.Errorf("%s may run once and ran %d times: %+v", a.Request.ID, runs, a.Attempts)
		}
		if a.Complete && runs == 0 {
			t.Errorf("%s was answered and never ran", a.Request.ID)
		}
	}
}
