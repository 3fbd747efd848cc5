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

// standardSeed is that of every run that names none.
const standardSeed = 20261202

func seed(t *testing.T) uint64 {
	text := os.Getenv("TIDEPOST_SEED")
	if text == "" {
		return standardSeed
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

const (
	// requests are sent in each part of the run, and underWay are those that a plain
	// server runs when connections go silent. It takes long enough for that.
	requests   = 30
	underWay   = 8
	plainTakes = 250 * time.Millisecond
)

// All connections go silent, twice, in the middle of messages the second time.
// Meanwhile new weights spread. Every caller is served in the end, every engine
// serves the new version, and no promise is broken.
func TestServiceGoesOnAfterSilence(t *testing.T) {
	w := startWorld(t, size{control: 3, gateways: 2, engines: 3, plain: 2, plainTakes: plainTakes, within: 2 * time.Second}, logFolder(t))
	l := newLoad(w, seed(t), 0)
	ctx := t.Context()
	l.send(ctx, requests)
	const next = standin.FirstVersion + 1
	w.name(ctx, next)
	l.send(ctx, requests/2)
	// Some run at a server when the silence falls: the answer to what may not run
	// again is lost.
	l.askOnce(ctx, underWay)
	silent := w.silence(roles, faultproxy.Manner{})
	l.send(ctx, requests)
	l.askOnce(ctx, underWay)
	silent = append(silent, w.silence(roles, faultproxy.Manner{Midway: true})...)
	l.send(ctx, requests)
	l.under.Wait()
	w.awaitServed(next)
	if len(silent) == 0 {
		t.Fatal("no connection went silent")
	}
	checkPromises(t, w, l.all())
	// Callers that come afterwards are served too.
	after := newLoad(w, seed(t)+1, 0)
	after.asked = math.MaxInt32
	after.send(ctx, requests)
	after.under.Wait()
	checkPromises(t, w, after.all())
}

// awaitServed waits until every engine serves a version; the test's own limit bounds
// it.
func (w *world) awaitServed(version uint64) {
	for _, e := range w.engines {
		for e.ServedVersion() != version {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// checkPromises checks what every caller was promised. Each is served, but for the
// requests that may have run and must not run again.
func checkPromises(t *testing.T, w *world, answers []standin.Result) {
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
			n := w.ledger.Runs(try.ID)
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
