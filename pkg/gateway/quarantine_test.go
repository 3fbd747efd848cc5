package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// hearBuild has the gateway hear of a server that runs some software.
func (f *fixture) hearBuild(one *mortal, software string) {
	f.gateway.backends.applyRegistration(registry.NewRegistration(one.incarnation, "menu", one.listener.Addr().String(), "hall-a", software, 4, registry.Ready, 0, nil, 1, 0))
}

// barred returns a gateway that keeps a request away, after three servers ended under it,
// and that asks for trials by itself. Time passes by the function returned.
func barred(t *testing.T) (f *fixture, pass func(time.Duration)) {
	t.Helper()
	m := newMortals(t, 4)
	f = newFixture(t, serviceconfig.Repeatable, false, m.standIns()...)
	now := time.Now()
	g := f.gateway
	g.quarantine = quarantine.NewTable(func() time.Time { return now })
	g.requestTrial = func(f quarantine.Fingerprint) { g.quarantine.Grant(f, g.tester) }
	f.endThree(t, m)
	return f, func(d time.Duration) { now = now.Add(d) }
}

// A request that is mended by new software finds its way back, and goes only there.
func TestMendedRequestComesBack(t *testing.T) {
	f, pass := barred(t)
	mended := &mortal{}
	mended.fakeBackend = newFakeBackend(t, "i-new", respondWith("200 OK", "whole"))
	f.hearBuild(mended, "v2")
	if status := f.tryOf(t, "early", endingBody, nil); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d before a trial is due", status)
	}
	pass(time.Minute)
	statuses := map[int]int{}
	for i := range 6 {
		statuses[f.tryOf(t, fmt.Sprintf("a-%d", i), endingBody, nil)]++
	}
	if statuses[http.StatusOK] != 5 || statuses[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses %v: the first asks for the trial, the others are served", statuses)
	}
	if n := len(mended.requests()); n != 5 {
		t.Errorf("%d requests at the server of new software", n)
	}
}

// Where new software is no better, it costs one server for each of two trials, for good.
func TestRequestThatIsNotMendedStaysAway(t *testing.T) {
	f, pass := barred(t)
	m := newMortals(t, 6)
	for i, one := range m.all {
		one.incarnation = fmt.Sprintf("i-new-%d", i)
		f.hearBuild(one, fmt.Sprintf("v%d", i+2))
	}
	for i := range 40 {
		pass(5 * time.Minute)
		f.tryOf(t, fmt.Sprintf("a-%d", i), endingBody, nil)
		f.gateway.trialLimiter.SetBurst(i + 2)
	}
	if n := m.count(); n > 2 {
		t.Errorf("%d servers of new software ended; 2 may", n)
	}
}

// A gateway that starts anew keeps away what a control node tells it.
func TestGatewayThatStartsAnewKeepsItAway(t *testing.T) {
	f, _ := barred(t)
	m := newMortals(t, 2)
	other := newFixture(t, serviceconfig.Repeatable, false, m.standIns()...)
	other.gateway.learnRecords(f.gateway.quarantine.Records())
	if status := other.tryOf(t, "a", endingBody, nil); status != http.StatusServiceUnavailable || m.count() > 0 {
		t.Errorf("status %d, %d servers ended", status, m.count())
	}
}

// The answer says that the request has not run, and to come back much later.
func TestRefusalOfABarredRequest(t *testing.T) {
	f, _ := barred(t)
	status, header, body, err := f.do(t, f.request(t, http.MethodPost, "a", endingBody))
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") != "60.00" {
		t.Errorf("status %d, Retry-After %q, %v", status, header.Get("Retry-After"), err)
	}
	want := fmt.Sprintf("3 backend servers ended under request %s", quarantine.Of(quarantine.Content{
		Organisation: "larder", Method: http.MethodPost, Host: "menus.example", Target: "/draft/x?y=1", Body: []byte(endingBody),
	}))
	if !containsAll(body, want, `"ran":"not run"`, `"kind":"ends_servers"`) {
		t.Errorf("body %s", body)
	}
}

func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
