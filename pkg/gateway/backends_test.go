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

// A control node that started anew tells of a departure without the service.
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

// The same word may come before the others, and before a late heartbeat.
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

// A heartbeat that a cut held back came after its sender had crashed and a new
// incarnation had registered at the address: the new one's loads went to the old one,
// and to nobody once that was known to be gone.
func TestLateHeartbeatOfAnEarlierIncarnation(t *testing.T) {
	all := newBackends()
	at := func(incarnation string, sequence uint64) registry.Registration {
		return registry.NewRegistration(incarnation, "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, sequence, 0)
	}
	all.applyRegistration(at("i-new", 1))
	all.applyRegistration(at("i-old", 40))
	tell := func() { all.applyLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 1, 3, 0, 1, false, false)) }
	fresh := func() bool {
		for _, b := range all.forService("menu") {
			if b.latestRegistration().Incarnation() == "i-new" && b.load(time.Now()).fresh {
				return true
			}
		}
		return false
	}
	tell()
	if !fresh() {
		t.Error("the load of the engine is not known of the incarnation that is there")
	}
	all.markDeparted("i-old", 0)
	all.sweep()
	all.applyRegistration(at("i-old", 41))
	tell()
	if !fresh() || len(all.forService("menu")) != 1 {
		t.Errorf("after the earlier one is gone: load known %t, %d backend servers", fresh(), len(all.forService("menu")))
	}
}

// A backend server that starts again under its incarnation is another one: nothing of the
// earlier start is held against it, and words of that one change nothing.
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
		there := all.forService("menu")
		if len(there) != 1 || there[0] == earlier || there[0].address != "127.0.0.1:10" {
			t.Fatalf("after %s: %d backend servers", before, len(there))
		}
		if l := there[0].load(time.Now()); l.state != registry.Ready || l.inBackoff || l.failureRate > 0 || there[0].version != 0 {
			t.Errorf("after %s the later start is %+v", before, l)
		}
		if !earlier.hasLeft() {
			t.Errorf("after %s the earlier start is not over", before)
		}
	}
}

// The later start may be of another service.
func TestRestartMayChangeService(t *testing.T) {
	all := newBackends()
	all.applyRegistration(registry.NewRegistration("i-1", "menu", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 40, 1000))
	all.applyRegistration(registry.NewRegistration("i-1", "orders", "127.0.0.1:9", "hall-a", "v1", 16, registry.Ready, 0, nil, 1, 2000))
	all.sweep()
	if len(all.forService("menu")) != 0 || len(all.forService("orders")) != 1 {
		t.Errorf("%d of the earlier service, %d of the later one", len(all.forService("menu")), len(all.forService("orders")))
	}
}
