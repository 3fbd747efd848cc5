package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// BenchmarkStream measures a stream of 22 events from a caller through the gateway to one of 45
// engines, with a reserved slot. The caller and the engine run in the same process.
//
//	go test ./pkg/gateway -bench Stream -cpuprofile cpu.out
func BenchmarkStream(b *testing.B) {
	const engines, events = 45, 22
	s := newFakeBackend(b, "i-0", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, events)
		_, _ = fmt.Fprint(w, "0\r\n\r\n")
		return true
	})
	f := newFixture(b, serviceconfig.Stream, true, s)
	g := f.gateway
	g.askStager = func(context.Context, string, reservation.Request) (reservation.Response, error) {
		return reservation.NewResponse(true, 100*time.Millisecond, feed.NewLoad("menu", "", "menu", 1, 3, 0, 1, false, false)), nil
	}
	route := serviceconfig.NewRoute("r", "menus.example", "/draft/", serviceconfig.Stream, 3*time.Second, 400*time.Millisecond, 400*time.Millisecond, 1,
		[]serviceconfig.Target{serviceconfig.NewTarget("menu", 1)}, 2, false, true, nil)
	g.index.Advance(serviceconfig.NewDocument(2, []serviceconfig.Route{route},
		[]serviceconfig.Service{serviceconfig.NewService("menu", "", 0, "", testEngine(), true, 0)},
		[]serviceconfig.Organisation{serviceconfig.NewOrganisation("larder", []string{"k1"}, 0, false, nil)}, serviceconfig.Limits{}))
	for i := range engines {
		g.backends.applyRegistration(registry.NewRegistration(fmt.Sprintf("i-%d", i), "menu", s.listener.Addr().String(), "hall-a", "v1", 16, registry.Ready, 0, nil, 1, 0))
	}
	for b.Loop() {
		r := f.request(b, http.MethodPost, "id", "a soft breakfast")
		r.Header.Set(headerModel, "")
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		n, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || n == 0 {
			b.Fatal(response.Status, n, err)
		}
	}
}

// BenchmarkResponseWithoutLength measures responses that end with their connection, one after the other:
// the time that callers wait, and what the backend server gets for each besides the request.
//
//	go test ./pkg/gateway -run '^$' -bench WithoutLength
func BenchmarkResponseWithoutLength(b *testing.B) {
	var connections, probes atomic.Int64
	s := newFakeBackendWithAccept(b, "i-0", func(w *bufio.Writer, r *http.Request) bool {
		writeUnframed(w, r, "text/plain", "whole")
		return false
	}, func(net.Conn) { connections.Add(1) })
	s.onProbe = func(w *bufio.Writer, r *http.Request) bool {
		probes.Add(1)
		return respondWith("200 OK", "")(w, r)
	}
	f := newFixture(b, serviceconfig.Once, false, s)
	var times []time.Duration
	for b.Loop() {
		started := time.Now()
		if status, _, body, err := f.do(b, f.request(b, http.MethodPost, "id", "a soft breakfast")); status != http.StatusOK || body != "whole" {
			b.Fatal(status, body, err)
		}
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(connections.Load())/float64(len(times)), "connections/op")
	b.ReportMetric(float64(probes.Load())/float64(len(times)), "probes/op")
}
