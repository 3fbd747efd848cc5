package gateway

import (
	"net/http"
	"testing"
	"time"
)

// What was seen: a stream was taken over a kept connection 4.35 s after the signal of a
// planned stop, ran for 3.25 s, and was cut 18 ms before its end, since the time for the
// stop was over. What caused it: whatever came over such a connection was begun.
func TestRequestThatMayOutliveTheStopGoesElsewhere(t *testing.T) {
	f := newLapsing(t, wholeStream, wholeStream)
	for _, c := range []struct {
		left time.Duration
		want int
	}{{time.Hour, http.StatusOK}, {20 * time.Millisecond, http.StatusServiceUnavailable}} {
		f.gateway.draining.Store(true)
		f.gateway.stopsAt.set(time.Now().Add(c.left))
		status, header, _, err := f.do(t, f.draft(t))
		if status != c.want || err != nil {
			t.Errorf("with %s left: status %d, %v", c.left, status, err)
		}
		if c.want == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
			t.Error("it is not told when to come back")
		}
	}
}
