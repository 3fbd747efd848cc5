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

// register has the gateway hear of a server that runs some software.
func (f *fixture) register(one *crashingServer, software string) {
	f.gateway.backends.applyRegistration(registry.NewRegistration(one.incarnation, "menu", one.listener.Addr().String(), "hall-a", software, 4, registry.Ready, 0, nil, 1, 0))
}

// newQuarantinedFixture returns a gateway that keeps a request away, after three servers ended under it,
// and that asks for trials by itself. Time passes by the function returned.
func newQuarantinedFixture(t *testing.T) (f *fixture, pass func(time.Duration)) {
	t.Helper()
	m := newCrashingServers(t, 4)
	f = newFixture(t, serviceconfig.Repeatable, false, m.servers()...)
	now := time.Now()
	g := f.gateway
	g.quarantine = quarantine.NewTable(func() time.Time { return now })
	g.requestTrial = func(f quarantine.Fingerprint) { g.quarantine.GrantTrial(f, g.tester) }
	f.quarantineRequest(t, m)
	return f, func(d time.Duration) { now = now.Add(d) }
}

// A request that is mended by new software finds its way back, and goes only there.
func TestRequestRunsAgainOnFixedBuild(t *testing.T) {
	f, pass := newQuarantinedFixture(t)
	mended := &crashingServer{}
	mended.fakeBackend = newFakeBackend(t, "i-new", respondWith("200 OK", "whole"))
	f.register(mended, "v2")
	if status := f.try(t, "early", crashingBody, nil); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d before a trial is due", status)
	}
	pass(time.Minute)
	statuses := map[int]int{}
	for i := range 6 {
		statuses[f.try(t, fmt.Sprintf("a-%d", i), crashingBody, nil)]++
	}
	if statuses[http.StatusOK] != 5 || statuses[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses %v: the first asks for the trial, the others are served", statuses)
	}
	if n := len(mended.requests()); n != 5 {
		t.Errorf("%d requests at the server of new software", n)
	}
}

// Where new software is no better, it costs one server for each of two trials, for good.
func TestRequestStaysQuarantinedOnUnfixedBuilds(t *testing.T) {
	f, pass := newQuarantinedFixture(t)
	m := newCrashingServers(t, 6)
	for i, one := range m.all {
		one.incarnation = fmt.Sprintf("i-new-%d", i)
		f.register(one, fmt.Sprintf("v%d", i+2))
	}
	for i := range 40 {
		pass(5 * time.Minute)
		f.try(t, fmt.Sprintf("a-%d", i), crashingBody, nil)
		f.gateway.trialLimiter.SetBurst(i + 2)
	}
	if n := m.count(); n > 2 {
		t.Errorf("%d servers of new software ended; 2 may", n)
	}
}

// A gateway that starts anew keeps away what a control node tells it.
func TestRestartedGatewayLearnsQuarantine(t *testing.T) {
	f, _ := newQuarantinedFixture(t)
	m := newCrashingServers(t, 2)
	other := newFixture(t, serviceconfig.Repeatable, false, m.servers()...)
	other.gateway.mergeRecords(f.gateway.quarantine.Records())
	if status := other.try(t, "a", crashingBody, nil); status != http.StatusServiceUnavailable || m.count() > 0 {
		t.Errorf("status %d, %d servers ended", status, m.count())
	}
}

// The answer says that the request has not run, and to come back much later.
func TestRefusalOfQuarantinedRequest(t *testing.T) {
	f, _ := newQuarantinedFixture(t)
	status, header, body, err := f.do(t, f.request(t, http.MethodPost, "a", crashingBody))
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") != "60.00" {
		t.Errorf("status %d, Retry-After %q, %v", status, header.Get("Retry-After"), err)
	}
	want := fmt.Sprintf("3 backend servers ended under request %s", quarantine.NewFingerprint(quarantine.Content{
		Organisation: "larder", Method: http.MethodPost, Host: "menus.example", Target: "/draft/x?y=1", Body: []byte(crashingBody),
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
