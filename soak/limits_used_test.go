//go:build bench

// ================================================================
// Guards against a share of used limits that includes time in which nobody sends requests, or in
// which requests above one limit hide that another one was left unused. A server advertises its
// last limit until the programs have stopped, seconds after the load has ended, and a gateway that
// uses a limit to the end of the load must pass the check.
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
		loadEnd, _ := ctx.Deadline()
		cl := &cluster{programs: &programs{startTimes: map[string][]time.Time{}}}
		cl.reportLimits(t, []limitedServer{s}, loadEnd, verdict{}, nil)
	})
}

// limitPhase is a time in which a server advertises one value and gets evenly spaced requests.
type limitPhase struct {
	text     string
	duration time.Duration
	requests int
}

// Each limit counts until the load ends, and for no more requests than it allows.
func TestUsedLimits(t *testing.T) {
	const stopTime = 4 * time.Second
	for _, c := range []struct {
		name              string
		phases            []limitPhase
		received, allowed float64
	}{
		{"used to the end", []limitPhase{{"2", 21 * time.Second, 42}}, 40, 40},
		{"half used", []limitPhase{{"2", 21 * time.Second, 21}}, 20, 40},
		{"ends before the load", []limitPhase{{"2", 11 * time.Second, 22}, {"", 10 * time.Second, 20}}, 20, 20},
		{"begins shortly before the end", []limitPhase{{"", 17 * time.Second, 34}, {"2", 4 * time.Second, 8}}, 0, 0},
		{"exceeded, then unused", []limitPhase{{"2", 11 * time.Second, 44}, {"1", 10 * time.Second, 0}}, 20, 29},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := limitedServer{"p-1", &standin.LimitAdvertiser{}}
				for _, p := range c.phases {
					s.play(p)
				}
				loadEnd := time.Now()
				time.Sleep(stopTime)
				if received, allowed := usedLimits([]limitedServer{s}, loadEnd); received != c.received || allowed != c.allowed {
					t.Errorf("%g of %g used, want %g of %g", received, allowed, c.received, c.allowed)
				}
			})
		})
	}
}

// play advertises the value of a phase and sends its requests.
func (s limitedServer) play(p limitPhase) {
	s.limit.Advertise(p.text)
	end := time.Now().Add(p.duration)
	serve := s.limit.Wrap(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	for range p.requests {
		serve(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		time.Sleep(p.duration / time.Duration(p.requests))
	}
	time.Sleep(time.Until(end))
}
