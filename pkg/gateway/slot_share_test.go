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

// testEngine has 16 slots; a usual request takes 51 ms of its time, 24 ms of them for the
// prefill.
func testEngine() serviceconfig.Engine {
	return serviceconfig.NewEngine(16, []string{"menu"}, 1, 96, 24576, 5*time.Millisecond, 0, 40000, 979, 86, 0, 5)
}

func reportedLoadOf(running, queued int, now time.Time, rounding float64) reportedLoad {
	return reportedLoad{load: feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, running, queued, 1, false, false), at: now, rounding: rounding}
}

// sentByAllGateways returns how many requests gateways with equal shares send to an engine until
// its next load report, if each has more requests than that.
func sentByAllGateways(gateways, running, queued int, now time.Time) int {
	sent := 0
	for i := range gateways {
		reported := reportedLoadOf(running, queued, now, (float64(i)+0.5)/float64(gateways))
		for reported.hasSlot(testEngine(), 1/float64(gateways), now) {
			reported.sent++
			sent++
		}
	}
	return sent
}

// Guards against gateways that each take all free slots of the same load report.
func TestGatewaysTogetherFillFreeSlots(t *testing.T) {
	now := time.Now()
	for _, gateways := range []int{1, 3, 9, 40} {
		if sent := sentByAllGateways(gateways, 14, 0, now); sent != 2+queuedPerEngine {
			t.Errorf("%d gateways sent %d requests to an engine with two free slots", gateways, sent)
		}
		if sent := sentByAllGateways(gateways, 16, 3, now); sent != 0 {
			t.Errorf("%d gateways sent %d requests to an engine where three are queued", gateways, sent)
		}
	}
}

// An engine without requests, as after a restart, must not get all its slots filled at the same
// time: it would spend half a second on prefill while no request gets a token.
func TestEmptyEngineIsFilledAtPrefillRate(t *testing.T) {
	now := time.Now()
	most := int(maxQueuedPrefill / testEngine().UsualPrefillTime())
	if sent := sentByAllGateways(9, 0, 0, now); sent > most {
		t.Fatalf("%d prompts for an empty engine whose prefill handles %d in %s", sent, most, maxQueuedPrefill)
	}
}

// An idle engine has a free slot also if a single prefill is longer than maxQueuedPrefill, and if
// the configuration does not say how long requests take.
func TestIdleEngineHasFreeSlot(t *testing.T) {
	now := time.Now()
	slow := serviceconfig.NewEngine(4, []string{"menu"}, 1, 96, 24576, 5*time.Millisecond, 0, 1000, 4000, 100, 0, 5)
	unknown := serviceconfig.NewEngine(4, []string{"menu"}, 1, 96, 24576, 0, 0, 0, 0, 0, 0, 0)
	for _, e := range []serviceconfig.Engine{slow, unknown} {
		if !reportedLoadOf(0, 0, now, 0).hasSlot(e, 1, now) {
			t.Errorf("an idle engine has no free slot: %+v", e)
		}
	}
	if reportedLoadOf(0, 1, now, 0).hasSlot(slow, 1, now) {
		t.Error("an engine with a long prefill in progress gets another prompt")
	}
}

func TestSlotsBecomeFreeBetweenReports(t *testing.T) {
	now := time.Now()
	reported := reportedLoadOf(17, 0, now, 0)
	if reported.hasSlot(testEngine(), 1, now) {
		t.Fatal("a full engine has a free slot")
	}
	if !reported.hasSlot(testEngine(), 1, now.Add(2*testEngine().SlotInterval())) {
		t.Fatal("no free slot after two requests ended")
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
	s := g.slotShares(now, map[string]float64{"hall-a": 100, "hall-b": 90})
	if local := s.forDomain("hall-a"); local < 0.4 || local > 0.6 {
		t.Errorf("the share is %.2f for half the demand of the failure domain", local)
	}
	if remote := s.forDomain("hall-b"); remote > 0.05 {
		t.Errorf("the share is %.2f for a failure domain whose own gateways need all slots", remote)
	}
	if remote := s.forDomain("hall-c"); remote < 0.15 || remote > 0.3 {
		t.Errorf("the share is %.2f for a fifth of the demand in a failure domain without gateways", remote)
	}
}

// addEngine registers an engine with the gateway and applies a load report of it.
func (f *fixture) addEngine(domain string, running int) {
	f.addEngineAt("127.0.0.1:1"+domain, domain, running)
}

func (f *fixture) addEngineAt(address, domain string, running int) {
	id := fmt.Sprintf("i-%s", address)
	f.gateway.backends.applyRegistration(registry.NewRegistration(id, "menu", address, domain, "v1", 16, registry.Ready, 0, nil, 1, 0))
	f.gateway.backends.applyLoadReport(feed.NewLoad("menu", address, "menu", 1, running, 0, 1, false, false))
}

// Packet loss or delay between failure domains makes a stream late, so an emptier engine of
// another domain is no better choice.
func TestLocalEnginesArePreferred(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	// All demand comes here, so no share is rounded at random.
	f.gateway.demand.add(time.Now())
	f.gateway.demandByDomain = func() map[string]float64 { return map[string]float64{"hall-a": 1} }
	f.addEngine("hall-a", 9)
	f.addEngine("hall-b", 0)
	w := requirements{service: "menu", engine: testEngine(), maxWait: time.Second}
	b, _ := f.gateway.choose(w)
	if b == nil || b.latestRegistration().Domain() != "hall-a" {
		t.Fatalf("chose %+v", b)
	}
	f.addEngine("hall-a", 40)
	b, _ = f.gateway.choose(w)
	if b == nil || b.latestRegistration().Domain() != "hall-b" {
		t.Fatalf("chose %+v although the local engines are full", b)
	}
}

// A request without a free slot must not wait at the gateway for a part of its objective: when
// requests did, most were refused nevertheless, and the others were served later.
func TestRequestWithoutFreeSlotIsRefusedImmediately(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, time.Hour, time.Hour, 0, 1, nil, 2, false, true, nil)
	service := serviceconfig.NewService("menu", "", 0, "", testEngine(), false, 0)
	f.addEngine("hall-a", 40)
	q := &request{ctx: t.Context(), route: &route, service: &service, started: time.Now(), deadline: time.Now().Add(time.Hour), tried: map[*backend]bool{}}
	q.head.Model, q.model = "menu", "menu"
	b, refused := f.gateway.pick(q)
	if b != nil || refused == nil || refused.Kind() != failure.Overloaded {
		t.Fatalf("picked %v, refused with %v", b, refused)
	}
	if retryAfter := refused.RetryAfter(); retryAfter < retryAfterMin || retryAfter > retryAfterMax {
		t.Fatalf("the refusal asks the caller to retry after %s", retryAfter)
	}
}

// A new engine is registered before its first load report; 40 gateways together must not exceed
// its slots.
func TestEngineWithoutReportIsShared(t *testing.T) {
	now := time.Now()
	w := requirements{service: "menu", engine: testEngine(), maxWait: time.Second}
	const gateways = 40
	sent := 0
	for i := range gateways {
		l := load{domain: "hall-a", reported: reportedLoad{rounding: (float64(i) + 0.5) / gateways}}
		s := slotShares{domain: "hall-a", local: 1.0 / gateways}
		for w.isWithinShare(l, s, now) {
			l.inFlight++
			sent++
		}
	}
	if most := testEngine().Slots() + queuedPerEngine; sent > most {
		t.Fatalf("%d gateways sent %d requests to an engine with room for %d", gateways, sent, most)
	}
}

// A gateway with one request at an engine receives nothing from it until the first event. A load
// report of its stager must count as contact.
func TestLoadReportCountsAsContact(t *testing.T) {
	f := newFixture(t, serviceconfig.Stream, true)
	before := time.Now()
	f.addEngine("hall-a", 9)
	for _, b := range f.gateway.backends.forService("menu") {
		if b.lastContact().Before(before) {
			t.Fatalf("last contact at %s, before the load report", b.lastContact())
		}
	}
}
