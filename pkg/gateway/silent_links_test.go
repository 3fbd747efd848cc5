// ================================================================
// These tests guard against treating a stager behind a silent link as one that has stopped. When all
// open connections fell silent without a reset while new ones worked, requests were refused or late
// for seconds although every engine worked: each reservation request was lost on the silent link to
// a stager, the stager was not asked for one to four seconds, and then was asked over the same link.
// The links here never detect silence by themselves. A stager that has stopped must still not be
// asked for a while.
// ================================================================

package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/internal/silenced"
	clocks "github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/vm"
)

// linkTestTimeout bounds each wait of these tests.
const linkTestTimeout = 20 * time.Second

// silencedLinks are links to stagers that can be silenced: open links lose all bytes in both
// directions. New ones work, unless dials hang as they do for stopped stagers.
type silencedLinks struct {
	silenced.Conns
	mu           sync.Mutex
	dials        int
	dialsHang    bool
	reservations atomic.Int64 // reservation requests that reached a stager
}

// silence silences every open link. With dialsHang, new links don't come up either.
func (s *silencedLinks) silence(dialsHang bool) {
	s.mu.Lock()
	s.dialsHang = dialsHang
	s.mu.Unlock()
	s.Silence()
}

// newLinkedGateway returns a gateway that asks its stagers over links.
func newLinkedGateway(t *testing.T) (*Gateway, *request, *silencedLinks) {
	t.Helper()
	g, q := newReservingGateway(t, &fakeStager{})
	s := &silencedLinks{}
	stager := link.NewEndpoint(link.Config{
		Self: vm.NewIdentity("stager", 1, "", "", ""), Clock: clocks.NewClock(time.Now), Logger: log.NewNopLogger(),
		// Pings come too late to detect the silence, here and below.
		PingInterval: time.Hour, PingTimeout: time.Hour,
	})
	stager.Handle(link.KindReserve, func(_ context.Context, stream *link.Stream) error {
		var request reservation.Request
		if err := stream.Receive(&request); err != nil {
			return err
		}
		s.reservations.Add(1)
		return stream.Send(reservation.NewResponse(true, 0, feed.NewLoad("menu", "", "menu", 1, 3, 0, 1, false, false)))
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = stager.Serve(ctx, l) }()
	g.process.Endpoint = link.NewEndpoint(link.Config{
		Self: g.process.Identity, Clock: clocks.NewClock(time.Now), Logger: log.NewNopLogger(),
		PingInterval: time.Hour, PingTimeout: time.Hour,
		Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			s.mu.Lock()
			dialsHang := s.dialsHang
			s.dials++
			s.mu.Unlock()
			if dialsHang {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return s.Dial(ctx, l.Addr().String())
		},
	})
	t.Cleanup(func() {
		g.process.Endpoint.Close()
		cancel()
		_ = l.Close()
		stager.Close()
	})
	g.askStager = g.callStager
	// Links to all stagers are open, as in a gateway that has served for a while.
	deadline := time.Now().Add(linkTestTimeout)
	for _, b := range g.backends.forService("menu") {
		for !g.reserve(q, b, 0, time.Now().Add(linkTestTimeout)).granted {
			if time.Now().After(deadline) {
				t.Fatal("a working stager does not answer")
			}
			b.recordCurrentLoad(feed.NewLoad("menu", b.address, "menu", 1, 3, 0, 1, false, false))
			b.mu.Lock()
			b.stagerBackoffUntil = time.Time{}
			b.mu.Unlock()
		}
	}
	return g, q, s
}

// reportFreeSlots reports the load of each engine to the gateway, as control nodes do.
func reportFreeSlots(g *Gateway) {
	// All demand comes to this gateway, so its share is all slots.
	g.demand.add(time.Now())
	for _, b := range g.backends.forService("menu") {
		b.recordLoadReport(feed.NewLoad("menu", b.address, "menu", 1, 3, 0, 1, false, false))
	}
}

// Every stager is asked again after each of two silences, and no request is refused meanwhile.
func TestStagersBehindSilentLinksAreAskedAgain(t *testing.T) {
	g, q, s := newLinkedGateway(t)
	for range 2 {
		s.silence(false)
		before, deadline := s.reservations.Load(), time.Now().Add(linkTestTimeout)
		for s.reservations.Load() == before {
			if time.Now().After(deadline) {
				t.Fatalf("no stager was asked within %s", linkTestTimeout)
			}
			q.started, q.tried = time.Now(), map[*backend]bool{}
			reportFreeSlots(g)
			if b, refused := g.pick(q); b == nil {
				t.Fatalf("refused with %v while engines have free slots", refused)
			}
		}
		for _, b := range g.backends.forService("menu") {
			for !b.canReserve(time.Now()) || !g.reserve(q, b, 0, time.Now().Add(linkTestTimeout)).granted {
				if time.Now().After(deadline) {
					t.Fatalf("%s is not asked within %s", b.address, linkTestTimeout)
				}
				<-time.After(5 * time.Millisecond)
			}
		}
	}
}

// A stopped stager looks like one behind a silent link until a dial of a new link fails. It is then
// not asked for a while, and requests are sent to its engine by load reports.
func TestStoppedStagersAreNotAskedAgain(t *testing.T) {
	g, q, s := newLinkedGateway(t)
	s.silence(true)
	for _, b := range g.backends.forService("menu") {
		if o := g.reserve(q, b, 0, time.Now().Add(linkTestTimeout)); !o.unanswered || b.canReserve(time.Now()) {
			t.Errorf("%s: %+v, may be asked again immediately", b.address, o)
		}
	}
	if b, refused := g.pick(q); b == nil {
		t.Fatalf("refused with %v while engines have free slots", refused)
	}
}
