package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// testEngine has 16 places; a usual request takes 51 ms of it, 24 of them for
// its prompt.
func testEngine() serviceconfig.Engine {
	return serviceconfig.NewEngine(16, []string{"menu"}, 1, 96, 24576, 5*time.Millisecond, 0, 40000, 979, 86, 0, 5)
}

func toldOf(running, queued int, now time.Time, lot float64) toldLoad {
	return toldLoad{load: feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, running, queued, 1, false, false), at: now, lot: lot}
}

// sentByAll is how many requests gateways with equal shares send to an engine
// until its next word, when each of them has more than enough.
func sentByAll(gateways, running, queued int, now time.Time) int {
	sent := 0
	for i := range gateways {
		t := toldOf(running, queued, now, (float64(i)+0.5)/float64(gateways))
		for t.hasPlace(testEngine(), 1/float64(gateways), now) {
			t.sent++
			sent++
		}
	}
	return sent
}

// Two free places were taken by each of the gateways that heard of them.
func TestGatewaysTogetherTakeTheFreePlaces(t *testing.T) {
	now := time.Now()
	for _, gateways := range []int{1, 3, 9, 40} {
		if sent := sentByAll(gateways, 14, 0, now); sent != 2+waitingPlaces {
			t.Errorf("%d gateways sent %d requests to an engine with two free places", gateways, sent)
		}
		if sent := sentByAll(gateways, 16, 3, now); sent != 0 {
			t.Errorf("%d gateways sent %d requests to an engine where three wait", gateways, sent)
		}
	}
}

// An engine that is back and empty got all its places filled at one moment, and
// then read prompts for half a second while nobody got a token.
func TestAnEmptyEngineIsFilledAsFastAsItReads(t *testing.T) {
	now := time.Now()
	most := int(readingAhead / testEngine().UsualReading())
	if sent := sentByAll(9, 0, 0, now); sent > most {
		t.Fatalf("%d prompts for an empty engine that reads %d in %s", sent, most, readingAhead)
	}
}

// Engines with long prompts read for longer than the bound for each of them, and
// some configurations do not say how long requests take.
func TestEveryIdleEngineHasAPlace(t *testing.T) {
	now := time.Now()
	slow := serviceconfig.NewEngine(4, []string{"menu"}, 1, 96, 24576, 5*time.Millisecond, 0, 1000, 4000, 100, 0, 5)
	unknown := serviceconfig.NewEngine(4, []string{"menu"}, 1, 96, 24576, 0, 0, 0, 0, 0, 0, 0)
	for _, e := range []serviceconfig.Engine{slow, unknown} {
		if !toldOf(0, 0, now, 0).hasPlace(e, 1, now) {
			t.Errorf("an idle engine has no place: %+v", e)
		}
	}
	if toldOf(0, 1, now, 0).hasPlace(slow, 1, now) {
		t.Error("an engine that reads a long prompt gets another")
	}
}

// Places become free while no word comes.
func TestPlacesBecomeFreeBetweenWords(t *testing.T) {
	now := time.Now()
	told := toldOf(17, 0, now, 0)
	if told.hasPlace(testEngine(), 1, now) {
		t.Fatal("a full engine has a place")
	}
	if !told.hasPlace(testEngine(), 1, now.Add(2*testEngine().Turn())) {
		t.Fatal("no place after two requests ended")
	}
}

func TestSharesFollowDemandAndFailureDomain(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	g := f.gateway
	now := time.Now()
	for range 30 {
		g.demand.add(now)
	}
	g.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 60, "hall-b": 90} }
	s := g.shares(now, map[string]float64{"hall-a": 100, "hall-b": 90})
	if near := s.at("hall-a"); near < 0.4 || near > 0.6 {
		t.Errorf("the share of half the demand of the failure domain is %.2f", near)
	}
	if far := s.at("hall-b"); far > 0.05 {
		t.Errorf("the share is %.2f where the gateways there need all places", far)
	}
	if far := s.at("hall-c"); far < 0.15 || far > 0.3 {
		t.Errorf("the share is %.2f of a fifth of the demand where no gateway is", far)
	}
}

// hearEngine has the gateway hear of an engine and of its load.
func (f *fixture) hearEngine(domain string, running int) {
	f.hearEngineAt("127.0.0.1:1"+domain, domain, running)
}

func (f *fixture) hearEngineAt(address, domain string, running int) {
	id := fmt.Sprintf("i-%s", address)
	f.gateway.backends.hear(registry.NewRegistration(id, "menu", address, domain, "v1", 16, registry.Ready, 0, nil, 1, 0))
	f.gateway.backends.hearLoad(feed.NewLoad("menu", address, "menu", 1, running, 0, 1, false, false))
}

// A stream from another failure domain is late when a packet is lost or held up
// between, so the emptier engine there is not better.
func TestEnginesOfTheOwnFailureDomainComeFirst(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	// All demand comes here, so no share is rounded by lot.
	f.gateway.demand.add(time.Now())
	f.gateway.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 1} }
	f.hearEngine("hall-a", 9)
	f.hearEngine("hall-b", 0)
	w := wanted{service: "menu", engine: testEngine(), wait: time.Second}
	b, _ := f.gateway.choose(w)
	if b == nil || b.word().Domain() != "hall-a" {
		t.Fatalf("chose %+v", b)
	}
	f.hearEngine("hall-a", 40)
	b, _ = f.gateway.choose(w)
	if b == nil || b.word().Domain() != "hall-b" {
		t.Fatalf("chose %+v where those of the own failure domain are full", b)
	}
}

// A request that no engine has a place for was held for a fifth of its objective;
// most were refused all the same, and the others were served later.
func TestARequestWithoutAPlaceIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, time.Hour, time.Hour, 0, 1, nil, 2, false, true)
	service := serviceconfig.NewService("menu", "", 0, "", testEngine(), false)
	f.hearEngine("hall-a", 40)
	q := &request{ctx: t.Context(), route: &route, service: &service, started: time.Now(), deadline: time.Now().Add(time.Hour), tried: map[*backend]bool{}}
	q.head.Model, q.model = "menu", "menu"
	b, refused := f.gateway.pick(q)
	if b != nil || refused == nil || refused.Kind() != failure.Overloaded {
		t.Fatalf("picked %v, refused with %v", b, refused)
	}
	if after := refused.RetryAfter(); after < retryAfterMin || after > retryAfterMax {
		t.Fatalf("the caller may come back after %s", after)
	}
}

// An engine that has just come is known before its load is: forty gateways sent it
// what they liked.
func TestAnEngineWithoutAWordIsShared(t *testing.T) {
	now := time.Now()
	w := wanted{service: "menu", engine: testEngine(), wait: time.Second}
	const gateways = 40
	sent := 0
	for i := range gateways {
		l := load{domain: "hall-a", told: toldLoad{lot: (float64(i) + 0.5) / gateways}}
		s := shares{domain: "hall-a", near: 1.0 / gateways}
		for w.hasPlace(l, s, now) {
			l.inFlight++
			sent++
		}
	}
	if most := testEngine().Slots() + waitingPlaces; sent > most {
		t.Fatalf("%d gateways sent %d requests to an engine of %d places", gateways, sent, most)
	}
}

// A gateway with one request at an engine hears nothing from it until the first
// event; the stager beside it says that it works.
func TestALoadIsASignOfLife(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	before := time.Now()
	f.hearEngine("hall-a", 9)
	for _, b := range f.gateway.backends.of("menu") {
		if b.heard().Before(before) {
			t.Fatalf("heard at %s, before the load", b.heard())
		}
	}
}
