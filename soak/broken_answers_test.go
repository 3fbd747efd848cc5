// ================================================================
// Guards against broken answers of backend servers that reach callers: as a whole answer, or in an error. The real
// programs run here; pkg/upstream and pkg/gateway test the individual causes. The incident is described in
// docs/incidents/.
// ================================================================

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// brokenClusterConfig is a cluster whose plain servers all send broken answers; gateways would prefer sound servers.
var brokenClusterConfig = clusterConfig{control: 1, gateways: 3, engines: 1, broken: 4, plainServiceTime: 5 * time.Millisecond, rolloutDeadline: longDeadline, retryReserve: 100_000}

// longUpload is the body of a request that no server receives without reading it.
var longUpload = strings.Repeat("u", 3<<20)

// drawUpload draws a request to a plain server, some with a long upload.
func drawUpload(r *rand.Rand) standin.Request {
	a := drawPlain(r)
	a.Timeout = longDeadline
	if r.IntN(3) == 0 {
		a.Body = longUpload
	}
	return a
}

// allowedErrors are the statuses of errors that a gateway makes itself.
var allowedErrors = []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout}

func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	const responses = 1000
	cl := startCluster(t, brokenClusterConfig, logFolder(t))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &keepAliveLoad{cluster: cl, plain: 4, pause: 20 * time.Millisecond, drawPlain: drawUpload}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, seed(t))
	}()
	cl.awaitBrokenAnswers()
	l.awaitResponses(responses)
	cancel()
	<-done
	v := cl.evaluate(l.finished, nil)
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
	for _, c := range v.cuts {
		t.Errorf("%s %s: %s; %s", c.ID, c.Outcome, c.Reason, c.reportLine())
	}
	for _, k := range l.finished {
		if k.Outcome == standin.Refused && !slices.Contains(allowedErrors, k.Status) || strings.Contains(k.Reason, standin.BrokenMark) {
			t.Errorf("%s %s: status %d, %.200s", k.ID, k.Outcome, k.Status, k.Reason)
		}
	}
	if v.ends[standin.Succeeded] == 0 {
		t.Error("nothing was answered")
	}
	t.Logf("ends: %v", v.ends)
}

// awaitBrokenAnswers waits until each broken server has sent all kinds of broken answers.
func (cl *cluster) awaitBrokenAnswers() {
	for _, s := range cl.broken {
		for len(s.UnusedKinds()) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}
