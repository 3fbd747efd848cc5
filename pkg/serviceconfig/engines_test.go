package serviceconfig

import (
	"testing"
	"time"
)

func routeTo(service string, kind Kind, resumable bool) Route {
	return NewRoute("r", "h", "/", kind, time.Second, time.Second, 0, 1, []Target{NewTarget(service, 1)}, 1, false, resumable, nil)
}

// Processes on engine VMs get no routes, but must know whether the requests of a service may
// continue at another backend server.
func TestForEnginesMarksInterruptibleServices(t *testing.T) {
	services := []Service{
		NewService("streams", "", 0, "", Engine{}, false, 0),
		NewService("mixed", "", 0, "", Engine{}, false, 0),
		NewService("unused", "", 0, "", Engine{}, false, 0),
	}
	d := NewDocument(3, []Route{
		routeTo("streams", Stream, true), routeTo("streams", Repeatable, false),
		routeTo("mixed", Stream, true), routeTo("mixed", Stream, false),
	}, services, nil, Limits{})
	e := d.ForEngines()
	if len(e.Routes()) != 0 || e.Number() != 3 {
		t.Fatalf("number %d with %d routes", e.Number(), len(e.Routes()))
	}
	for i, want := range []bool{true, false, true} {
		if s := e.Services()[i]; s.Interruptible() != want {
			t.Errorf("%s is interruptible: %t", s.Name(), s.Interruptible())
		}
	}
	if d.Services()[0].Interruptible() {
		t.Error("the whole document was changed")
	}
}
