// ================================================================
// Tests of which requests a gateway starts during its planned stop. They guard against streams that
// the end of the stop aborts, and against logging these as the caller's disconnect.
//
// A response that began before the signal can't announce that its connection closes, so the caller
// sends the next request over it. One such stream arrived 4.35 s after the signal, ran for 3.25 s
// and was aborted 18 ms before its end; others, sent 3.2 to 4.8 s after the signal, were aborted as
// the process exited. An estimate of the run time alone does not prevent this: it covers engines
// only, from this gateway's own recent requests.
// ================================================================

package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// beginStop puts the fixture's gateway into a planned stop that began some time ago and has
// some time left.
func (f *fixture) beginStop(ago, left time.Duration) {
	f.gateway.stop.begin(time.Now().Add(-ago), ago+left)
}

func TestRequestThatMayOutlastStopIsRefused(t *testing.T) {
	f := newExpiringFixture(t, completeStream, completeStream)
	for _, c := range []struct {
		left time.Duration
		want int
	}{{time.Hour, http.StatusOK}, {20 * time.Millisecond, http.StatusServiceUnavailable}} {
		f.beginStop(time.Hour, c.left)
		status, header, _, err := f.do(t, f.draftRequest(t))
		if status != c.want || err != nil {
			t.Errorf("with %s left: status %d, %v", c.left, status, err)
		}
		if c.want == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
			t.Error("the refusal has no Retry-After")
		}
	}
}

// TestLateStopStartsNoStreamItMayAbort requests streams late in a stop, with more time left than
// they should take and less than their deadline allows. None may run.
func TestLateStopStartsNoStreamItMayAbort(t *testing.T) {
	const left = 4700 * time.Millisecond
	late := stopDuration - left
	t.Run("an engine without recent runs at this gateway", func(t *testing.T) {
		f := newExpiringFixture(t, completeStream, completeStream)
		f.beginStop(late, left)
		if status, _, _, err := f.do(t, f.draftRequest(t)); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("status %d, %v", status, err)
		}
	})
	t.Run("a service without engines", func(t *testing.T) {
		server := newFakeBackend(t, "i-1", completeStream)
		f := newFixture(t, serviceconfig.Stream, true, server)
		f.beginStop(stopDuration-time.Second, time.Second)
		if status, _, _, err := f.do(t, f.request(t, http.MethodPost, "a", "draft")); status != http.StatusServiceUnavailable || err != nil {
			t.Errorf("status %d, %v", status, err)
		}
		if ran := server.requests(); len(ran) > 0 {
			t.Errorf("%v ran", ran)
		}
	})
}

// Requests with a deadline of 3 s are started or refused by their time of arrival, the time
// left and the duration of recent requests.
func TestRequestsStartedDuringStop(t *testing.T) {
	const early, late = time.Second, 3 * time.Second
	for _, c := range []struct {
		name      string
		kind      serviceconfig.Kind
		ago, left time.Duration
		recentRun time.Duration // 0 if nothing ran
		want      int
	}{
		{"a stream whose deadline is before the end of the stop", serviceconfig.Stream, late, 4 * time.Second, 0, http.StatusOK},
		{"a stream early, no recent runs", serviceconfig.Stream, early, 2 * time.Second, 0, http.StatusOK},
		{"a stream early, longer recent runs", serviceconfig.Stream, early, 2 * time.Second, 2500 * time.Millisecond, http.StatusServiceUnavailable},
		{"a stream late, short recent runs", serviceconfig.Stream, late, 2 * time.Second, 200 * time.Millisecond, http.StatusServiceUnavailable},
		{"a plain request late, short recent runs", serviceconfig.Once, late, 2 * time.Second, 200 * time.Millisecond, http.StatusOK},
		{"a plain request late, longer recent runs", serviceconfig.Once, late, 2 * time.Second, 2500 * time.Millisecond, http.StatusServiceUnavailable},
		{"a plain request late, no recent runs", serviceconfig.Once, late, 2 * time.Second, 0, http.StatusServiceUnavailable},
		{"a plain request early, no recent runs", serviceconfig.Once, early, 2 * time.Second, 0, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := completeStream
			if c.kind != serviceconfig.Stream {
				script = respondWith("200 OK", "whole")
			}
			f := newFixture(t, c.kind, c.kind == serviceconfig.Stream, newFakeBackend(t, "i-1", script))
			for range minSamples {
				if c.recentRun > 0 {
					f.gateway.silenceDetector.record(timingKey{"menu", timingRun}, time.Now(), c.recentRun)
				}
			}
			f.beginStop(c.ago, c.left)
			if status, _, _, err := f.do(t, f.request(t, http.MethodPost, "a", "draft")); status != c.want || err != nil {
				t.Errorf("status %d, %v", status, err)
			}
		})
	}
}

// A request that started early in a stop breaks off before its first event. It must not be retried
// when less time is left than recent requests took.
func TestStopRetriesNothingItMayAbort(t *testing.T) {
	var f *fixture
	first := newFakeBackend(t, "i-1", func(*bufio.Writer, *http.Request) bool {
		f.beginStop(3*time.Second, 300*time.Millisecond)
		return false
	})
	second := newFakeBackend(t, "i-2", completeStream)
	f = newFixture(t, serviceconfig.Stream, true, first, second)
	for range minSamples {
		f.gateway.silenceDetector.record(timingKey{"menu", timingRun}, time.Now(), time.Second)
	}
	if status, _, _, err := f.do(t, f.request(t, http.MethodPost, "a", "draft")); status != http.StatusBadGateway || err != nil {
		t.Errorf("status %d, %v", status, err)
	}
	if ran := second.requests(); len(ran) > 0 {
		t.Errorf("%v ran again", ran)
	}
}

// stopDuration is the duration of a planned stop, less its margin.
const stopDuration = 7700 * time.Millisecond

// The gateway aborts a stream that still runs at the end of the stop, and its log must state that
// reason.
func TestLogNamesStreamAbortedByStop(t *testing.T) {
	received, testEnded := make(chan struct{}, 1), make(chan struct{})
	t.Cleanup(func() { close(testEnded) })
	f := newFixture(t, serviceconfig.Stream, true, newFakeBackend(t, "i-1", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		received <- struct{}{}
		<-testEnded
		return false
	}))
	var log syncBuffer
	address, stop := f.runLogged(t, time.Second, &log)
	r := f.request(t, http.MethodPost, "a", "draft")
	r.URL.Host = address
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	<-received
	stop()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Error("an incomplete stream ended like a complete one")
	}
	f.awaitExit()
	for _, want := range []string{`"outcome":"stopped"`, errStopLimit.Error(), `"requests":1`} {
		if text := log.String(); !strings.Contains(text, want) {
			t.Errorf("the log lacks %s:\n%s", want, text)
		}
	}
}

// syncBuffer is a log buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns everything written so far.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
