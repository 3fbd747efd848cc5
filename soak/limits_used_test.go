//go:build bench

// ================================================================
// Guards against a share of used limits that includes time in which nobody sends requests. A
// server advertises its last limit until the programs have stopped, seconds after the load has
// ended, and a gateway that uses a limit to the end of the load must pass the check.
// ================================================================

package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// A limit that is used as long as requests are sent counts as used, however long the programs
// take to stop.
func TestUsedLimitEndsWithLoad(t *testing.T) {
	const (
		// interval uses 0.95 of a limit of 2 requests a second.
		interval = 526 * time.Millisecond
		loadTime = 10 * time.Second
		stopTime = 4 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		s := limitedServer{"p-1", &standin.LimitAdvertiser{}}
		s.limit.Advertise("2")
		serve := s.limit.Wrap(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		ctx, cancel := context.WithTimeout(t.Context(), loadTime)
		defer cancel()
		for ctx.Err() == nil {
			serve(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
			time.Sleep(interval)
		}
		time.Sleep(stopTime)
		cl := &cluster{programs: &programs{startTimes: map[string][]time.Time{}}}
		cl.reportLimits(t, []limitedServer{s}, verdict{}, nil)
	})
}
