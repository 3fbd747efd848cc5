package staging

import (
	"context"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// requestReservation requests one slot from a stager whose engine has 16.
func requestReservation(s *Stager, r Report) reservation.Response {
	engine := serviceconfig.NewEngine(16, []string{"menu"}, 1, 1, 8, 5*time.Millisecond, 0, 40000, 1000, 100, 0, 5)
	service := serviceconfig.NewService("menu", "", 0, "", engine, true, 0)
	return s.decide(reservation.NewRequest(1000, 400*time.Millisecond, 0, 0), "menu", &service, r)
}

func TestReservationsAreGrantedWhileTheEngineServes(t *testing.T) {
	serving := []registry.Holding{registry.NewHolding("menu", 3, 0, 1)}
	tests := []struct {
		name     string
		report   Report
		draining bool
		granted  bool
	}{
		{"engine serves", Report{Holdings: serving, Running: 3}, false, true},
		{"engine serves nothing", Report{Running: 3}, false, false},
		{"an order is being carried out", Report{Holdings: serving, Busy: true}, false, false},
		{"engine is draining", Report{Holdings: serving, Running: 3}, true, false},
		{"engine is full with requests queued", Report{Holdings: serving, Running: 16, Queued: 9}, false, false},
	}
	for _, test := range tests {
		s := testStager(test.report)
		s.observe(test.report, "menu", 0)
		s.draining.Store(test.draining)
		response := requestReservation(s, test.report)
		if response.Granted() != test.granted || response.Load().Busy() != (test.draining || test.report.Busy) {
			t.Errorf("%s: granted %t, busy %t", test.name, response.Granted(), response.Load().Busy())
		}
	}
}

// One report of the engine answers all reservations within reportTTL, and a failed read answers none.
func TestReportCacheServesConcurrentReservations(t *testing.T) {
	var c reportCache
	reads := 0
	read := func(context.Context) (Report, error) {
		reads++
		if reads > 1 {
			return Report{}, failure.New(failure.Unreachable, "no answer")
		}
		return Report{Running: reads}, nil
	}
	r, err := c.recent(t.Context(), read)
	c.readAt = c.readAt.Add(time.Hour)
	second, errSecond := c.recent(t.Context(), read)
	if err != nil || errSecond != nil || r.Running != 1 || second.Running != 1 || reads != 1 {
		t.Fatalf("%d reads: %+v, %v and %+v, %v", reads, r, err, second, errSecond)
	}
	c.readAt = time.Time{}
	if _, err := c.recent(t.Context(), read); err == nil {
		t.Fatal("a failed read was answered from the cache")
	}
}
