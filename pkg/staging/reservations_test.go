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

// requestReservation asks a stager whose engine has 16 places for one of them.
func requestReservation(s *Stager, r Report) reservation.Answer {
	engine := serviceconfig.NewEngine(16, []string{"menu"}, 1, 1, 8, 5*time.Millisecond, 0, 40000, 1000, 100, 0, 5)
	service := serviceconfig.NewService("menu", "", 0, "", engine, true)
	return s.decide(reservation.NewAsk(1000, 400*time.Millisecond, 0), "menu", &service, r)
}

func TestReservationsAreGrantedWhileTheEngineServes(t *testing.T) {
	serving := []registry.Holding{registry.NewHolding("menu", 3, 0, 1)}
	tests := []struct {
		name     string
		report   Report
		draining bool
		granted  bool
	}{
		{"it serves", Report{Holdings: serving, Running: 3}, false, true},
		{"it serves nothing", Report{Running: 3}, false, false},
		{"an order is under way", Report{Holdings: serving, Busy: true}, false, false},
		{"it withdraws before an order", Report{Holdings: serving, Running: 3}, true, false},
		{"it is full and others wait", Report{Holdings: serving, Running: 16, Queued: 9}, false, false},
	}
	for _, test := range tests {
		s := testStager(test.report)
		s.draining.Store(test.draining)
		answer := requestReservation(s, test.report)
		if answer.Granted() != test.granted || answer.Load().Busy() != (test.draining || test.report.Busy) {
			t.Errorf("%s: granted %t, busy %t", test.name, answer.Granted(), answer.Load().Busy())
		}
	}
}

// One look at the engine answers whoever asks at the same moment, and a look that
// failed answers nobody.
func TestReportCacheServesConcurrentReservations(t *testing.T) {
	var o reportCache
	looks := 0
	look := func(context.Context) (Report, error) {
		looks++
		if looks > 1 {
			return Report{}, failure.New(failure.Unreachable, "no answer")
		}
		return Report{Running: looks}, nil
	}
	r, err := o.recent(t.Context(), look)
	o.readAt = o.readAt.Add(time.Hour)
	again, errAgain := o.recent(t.Context(), look)
	if err != nil || errAgain != nil || r.Running != 1 || again.Running != 1 || looks != 1 {
		t.Fatalf("%d looks: %+v, %v and %+v, %v", looks, r, err, again, errAgain)
	}
	o.readAt = time.Time{}
	if _, err := o.recent(t.Context(), look); err == nil {
		t.Fatal("a look that failed was answered from an old one")
	}
}
