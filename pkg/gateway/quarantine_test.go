// ================================================================
// Quarantined requests at a gateway: their refusal, their trials on servers of another build, and
// that a restarted gateway applies records. Guards against trials that never start or never end.
// ================================================================

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

// register registers a server with the gateway that runs the given software.
func (f *fixture) register(server *crashingServer, software string) {
	f.gateway.backends.applyRegistration(registry.NewRegistration(server.incarnation, "menu", server.listener.Addr().String(), "hall-a", software, 4, registry.Ready, 0, nil, 1, 0))
}

// newQuarantinedFixture returns a gateway with a request that is quarantined after three crashes,
// and which is granted each trial that it asks for. The function advances the clock of its table.
func newQuarantinedFixture(t *testing.T) (f *fixture, advance func(time.Duration)) {
	t.Helper()
	servers := newCrashingServers(t, 4)
	f = newFixture(t, serviceconfig.Repeatable, false, servers.list()...)
	now := time.Now()
	g := f.gateway
	g.quarantine = quarantine.NewTable(func() time.Time { return now })
	g.requestTrial = func(f quarantine.Fingerprint) { g.quarantine.GrantTrial(f, g.tester) }
	f.quarantineRequest(t, servers)
	return f, func(d time.Duration) { now = now.Add(d) }
}

// A request whose crash is fixed by new software runs again, and only on servers with that
// software.
func TestRequestRunsAgainOnFixedBuild(t *testing.T) {
	f, advance := newQuarantinedFixture(t)
	fixed := &crashingServer{}
	fixed.fakeBackend = newFakeBackend(t, "i-new", respondWith("200 OK", "whole"))
	f.register(fixed, "v2")
	if status := f.sendAttempt(t, "early", crashingBody, nil); status != http.StatusServiceUnavailable {
		t.Fatalf("status %d before a trial is due", status)
	}
	advance(time.Minute)
	statuses := map[int]int{}
	for i := range 6 {
		statuses[f.sendAttempt(t, fmt.Sprintf("a-%d", i), crashingBody, nil)]++
	}
	if statuses[http.StatusOK] != 5 || statuses[http.StatusServiceUnavailable] != 1 {
		t.Errorf("statuses %v; only the first request, which asks for the trial, should be refused", statuses)
	}
	if n := len(fixed.requests()); n != 5 {
		t.Errorf("%d requests at the server with new software", n)
	}
}

// Where new software does not fix the crash, each of two trials costs one server, and no further
// trial follows.
func TestRequestStaysQuarantinedOnUnfixedBuilds(t *testing.T) {
	f, advance := newQuarantinedFixture(t)
	servers := newCrashingServers(t, 6)
	for i, server := range servers.all {
		server.incarnation = fmt.Sprintf("i-new-%d", i)
		f.register(server, fmt.Sprintf("v%d", i+2))
	}
	for i := range 40 {
		advance(5 * time.Minute)
		f.sendAttempt(t, fmt.Sprintf("a-%d", i), crashingBody, nil)
		f.gateway.trialLimiter.SetBurst(i + 2)
	}
	if n := servers.count(); n > 2 {
		t.Errorf("%d servers with new software crashed; 2 may", n)
	}
}

// A restarted gateway refuses the request once it has the records of a control node.
func TestRestartedGatewayLearnsQuarantine(t *testing.T) {
	f, _ := newQuarantinedFixture(t)
	servers := newCrashingServers(t, 2)
	other := newFixture(t, serviceconfig.Repeatable, false, servers.list()...)
	other.gateway.mergeRecords(f.gateway.quarantine.Records())
	if status := other.sendAttempt(t, "a", crashingBody, nil); status != http.StatusServiceUnavailable || servers.count() > 0 {
		t.Errorf("status %d, %d servers crashed", status, servers.count())
	}
}

// The refusal states that the request has not run, and asks to retry a minute later.
func TestRefusalOfQuarantinedRequest(t *testing.T) {
	f, _ := newQuarantinedFixture(t)
	status, header, body, err := f.do(t, f.request(t, http.MethodPost, "a", crashingBody))
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") != "60.00" {
		t.Errorf("status %d, Retry-After %q, %v", status, header.Get("Retry-After"), err)
	}
	want := fmt.Sprintf("3 backend servers exited while running request %s", quarantine.NewFingerprint(quarantine.Content{
		Organisation: "larder", Method: http.MethodPost, Host: "menus.example", Target: "/draft/x?y=1", Body: []byte(crashingBody),
	}))
	if !containsAll(body, want, `"ran":"not run"`, `"kind":"ends_servers"`) {
		t.Errorf("body %s", body)
	}
}

// containsAll reports whether a text contains all parts.
func containsAll(text string, parts ...string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}
