// What was seen: when all open connections went silent, without a reset, while new ones
// worked, requests were refused or late for seconds although every engine was well.
// How it came about: each question for a place at an engine was lost on the silent link
// to its stager. The stager then was not asked for one to four seconds, and after that
// it was asked over the same link.
// What caused it: a silent link and a dead stager looked the same to the gateway.
// What proved it: with links that never find out by themselves no stager is asked again
// at all, however long the gateway goes on; a dead one must be left alone as before.

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

// linkTestTimeout ends a test that waits for what does not come.
const linkTestTimeout = 20 * time.Second

// silencedLinks are links to stagers that can go silent: those that are open lose what
// they carry, both ways. New ones work, unless the stagers are dead.
type silencedLinks struct {
	silenced.Conns
	mu           sync.Mutex
	dials        int
	dialsHang    bool
	reservations atomic.Int64 // questions that came to a stager
}

// silence silences every link that is open; dead stagers take no new ones.
func (s *silencedLinks) silence(dialsHang bool) {
	s.mu.Lock()
	s.dialsHang = dialsHang
	s.mu.Unlock()
	s.Silence()
}

// newLinkedGateway returns a gateway whose stagers are asked over links.
func newLinkedGateway(t *testing.T) (*Gateway, *request, *silencedLinks) {
	t.Helper()
	g, q := newReserving(t, &stagerStandIn{})
	s := &silencedLinks{}
	stager := link.NewEndpoint(link.Config{
		Own: vm.NewIdentity("stager", 1, "", "", ""), Clock: clocks.NewClock(time.Now), Logger: log.NewNopLogger(),
		// Pings come too late to help, here and below.
		KeepAlive: time.Hour, Unanswered: time.Hour,
	})
	stager.Handle(link.KindReserve, func(_ context.Context, stream *link.Stream) error {
		var request reservation.Ask
		if err := stream.Receive(&request); err != nil {
			return err
		}
		s.reservations.Add(1)
		return stream.Send(reservation.NewAnswer(true, 0, feed.NewLoad("menu", "", "menu", 1, 3, 0, 1, false, false)))
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = stager.Serve(ctx, l) }()
	g.process.Endpoint = link.NewEndpoint(link.Config{
		Own: g.process.Identity, Clock: clocks.NewClock(time.Now), Logger: log.NewNopLogger(),
		KeepAlive: time.Hour, Unanswered: time.Hour,
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
	// All stagers are linked, as they are in a gateway that has served for a while.
	deadline := time.Now().Add(linkTestTimeout)
	for _, b := range g.backends.of("menu") {
		for !g.reserve(q, b, 0, time.Now().Add(linkTestTimeout)).granted {
			if time.Now().After(deadline) {
				t.Fatal("a stager that is well does not answer")
			}
			b.hearLoadNow(feed.NewLoad("menu", b.address, "menu", 1, 3, 0, 1, false, false))
			b.mu.Lock()
			b.unaskedUntil = time.Time{}
			b.mu.Unlock()
		}
	}
	return g, q, s
}

// reportFreeSlots has the gateway hear of each engine, as it does from control nodes.
func reportFreeSlots(g *Gateway) {
	// All demand comes here, so a share is all places.
	g.demand.add(time.Now())
	for _, b := range g.backends.of("menu") {
		b.hearLoad(feed.NewLoad("menu", b.address, "menu", 1, 3, 0, 1, false, false))
	}
}

// Every stager is asked again, twice in a row, and nobody is refused meanwhile.
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
				t.Fatalf("refused with %v while engines have places", refused)
			}
		}
		for _, b := range g.backends.of("menu") {
			for !b.mayBeAsked(time.Now()) || !g.reserve(q, b, 0, time.Now().Add(linkTestTimeout)).granted {
				if time.Now().After(deadline) {
					t.Fatalf("%s is not asked within %s", b.address, linkTestTimeout)
				}
				<-time.After(5 * time.Millisecond)
			}
		}
	}
}

// A dead stager looks like one behind a silent link until no new connection to it
// comes up. It is left alone for a while, and its engine is shared.
func TestDeadStagersAreNotAskedAgain(t *testing.T) {
	g, q, s := newLinkedGateway(t)
	s.silence(true)
	for _, b := range g.backends.of("menu") {
		if o := g.reserve(q, b, 0, time.Now().Add(linkTestTimeout)); !o.unanswered || b.mayBeAsked(time.Now()) {
			t.Errorf("%s: %+v, asked again at once", b.address, o)
		}
	}
	if b, refused := g.pick(q); b == nil {
		t.Fatalf("refused with %v while engines have places", refused)
	}
}
