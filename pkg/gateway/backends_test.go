package gateway

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/registry"
)

func wordOf(state registry.State, service string, sequence uint64) registry.Registration {
	return registry.NewRegistration("i-1", service, "127.0.0.1:9", "north", "v1", 4, state, 0, nil, sequence)
}

func statesOf(table *backends, service string) []registry.State {
	var states []registry.State
	for _, b := range table.of(service) {
		states = append(states, b.word().State())
	}
	return states
}

// A control node that started anew tells of a departure without the service.
func TestDepartureWithoutServiceIsTaken(t *testing.T) {
	table := newBackends()
	table.hear(wordOf(registry.Ready, "menu", 7))
	table.hear(wordOf(registry.Gone, "", 0))
	for _, state := range statesOf(table, "menu") {
		if state != registry.Gone {
			t.Fatalf("the backend server is %s after it left", state)
		}
	}
}

// The same word may come before the others, and before a late heartbeat.
func TestDepartureIsFinal(t *testing.T) {
	table := newBackends()
	table.hear(wordOf(registry.Gone, "", 0))
	table.hear(wordOf(registry.Ready, "menu", 8))
	if states := statesOf(table, "menu"); len(states) > 0 && states[0] != registry.Gone {
		t.Fatalf("a late heartbeat made it %s", states[0])
	}
	table.sweep()
	table.hear(wordOf(registry.Ready, "menu", 9))
	if states := statesOf(table, "menu"); len(states) > 0 {
		t.Fatalf("a late heartbeat after the sweep made it %s", states[0])
	}
}
