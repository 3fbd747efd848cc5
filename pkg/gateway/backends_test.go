package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
)

func registrationInState(state registry.State, service string, sequence uint64) registry.Registration {
	return registry.NewRegistration("i-1", service, "127.0.0.1:9", "north", "v1", 4, state, 0, nil, sequence, 0)
}

func statesOf(table *backends, service string) []registry.State {
	var states []registry.State
	for _, b := range table.forService(service) {
		states = append(states, b.latestRegistration().State())
	}
	return states
}

// A control node that has just restarted reports a departure without the service.
func TestDepartureWithoutServiceIsApplied(t *testing.T) {
	table := newBackends()
	table.applyRegistration(registrationInState(registry.Ready, "menu", 7))
	table.applyRegistration(registrationInState(registry.Gone, "", 0))
	for _, state := range statesOf(table, "menu") {
		if state != registry.Gone {
			t.Fatalf("the backend server is %s after it left", state)
		}
	}
}

// A departure report may come before the registration, and before a late heartbeat.
func TestDepartureIsFinal(t *testing.T) {
	table := newBackends()
	table.applyRegistration(registrationInState(registry.Gone, "", 0))
	table.applyRegistration(registrationInState(registry.Ready, "menu", 8))
	if states := statesOf(table, "menu"); len(states) > 0 && states[0] != registry.Gone {
		t.Fatalf("a late heartbeat made it %s", states[0])
	}
	table.sweep()
	table.applyRegistration(registrationInState(registry.Ready, "menu", 9))
	if states := statesOf(table, "menu"); len(states) > 0 {
		t.Fatalf("a late heartbeat after the sweep made it %s", states[0])
	}
}

// A network partition delays a heartbeat until its sender has crashed and a new incarnation has
// registered at the address. The load reports of the new incarnation must not be applied to the
// old one only, nor be dropped once the old one has left.
func TestLateHeartbeatOfAnEarlierIncarnation(t *testing.T) {
	all := newBackends()
	at := func(incarnation string, sequence uint64) registry.Registration {
		return registry.NewRegistration(incarnation, "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, sequence, 0)
	}
	all.applyRegistration(at("i-new", 1))
	all.applyRegistration(at("i-old", 40))
	report := func() { all.applyLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 3, 0, 1, false, false)) }
	fresh := func() bool {
		for _, b := range all.forService("menu") {
			if b.latestRegistration().Incarnation() == "i-new" && b.load(time.Now()).fresh {
				return true
			}
		}
		return false
	}
	report()
	if !fresh() {
		t.Error("the current incarnation did not get the load report")
	}
	all.markDeparted("i-old", 0)
	all.sweep()
	all.applyRegistration(at("i-old", 41))
	report()
	if !fresh() || len(all.forService("menu")) != 1 {
		t.Errorf("after the earlier incarnation left: report received %t, %d backend servers", fresh(), len(all.forService("menu")))
	}
}

// A backend server that restarts under its incarnation is a new backend: it keeps no failures of
// the earlier start, and late registrations of the earlier start don't change it.
func TestRestartReplacesBackend(t *testing.T) {
	for _, before := range []registry.State{registry.Ready, registry.Draining, registry.Gone} {
		all := newBackends()
		at := func(address string, born, sequence uint64, state registry.State) registry.Registration {
			return registry.NewRegistration("i-1", "menu", address, "hall-a", "v1", 16, state, 0, nil, sequence, born)
		}
		all.applyRegistration(at("127.0.0.1:9", 1000, 40, registry.Ready))
		earlier := all.forService("menu")[0]
		earlier.recordFailure(time.Now())
		earlier.recordVersion(7)
		all.applyRegistration(at("127.0.0.1:9", 1000, 41, before))
		all.applyRegistration(at("127.0.0.1:10", 2000, 1, registry.Ready))
		all.applyRegistration(at("127.0.0.1:9", 1000, 42, registry.Ready))
		all.applyRegistration(at("127.0.0.1:9", 1000, 43, registry.Gone))
		all.sweep()
		current := all.forService("menu")
		if len(current) != 1 || current[0] == earlier || current[0].address != "127.0.0.1:10" {
			t.Fatalf("after %s: %d backend servers", before, len(current))
		}
		if l := current[0].load(time.Now()); l.state != registry.Ready || l.inBackoff || l.failureRate > 0 || current[0].version != 0 {
			t.Errorf("after %s the later start is %+v", before, l)
		}
		if !earlier.isGone() {
			t.Errorf("after %s the earlier start has not left", before)
		}
	}
}

func TestRestartMayChangeService(t *testing.T) {
	all := newBackends()
	all.applyRegistration(registry.NewRegistration("i-1", "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 40, 1000))
	all.applyRegistration(registry.NewRegistration("i-1", "orders", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 1, 2000))
	all.sweep()
	if len(all.forService("menu")) != 0 || len(all.forService("orders")) != 1 {
		t.Errorf("%d backend servers of the earlier service, %d of the later one", len(all.forService("menu")), len(all.forService("orders")))
	}
}
