// ================================================================
// Tests that ages and deadlines include the time for which the VM was suspended. The monotonic
// clock stops then, so measured ages would be too low.
// ================================================================

package gateway

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/suspension"
)

// newSuspendableGateway returns a gateway whose VM can be suspended.
func newSuspendableGateway(t *testing.T) (g *Gateway, suspend func(time.Duration)) {
	g = newGateway(t, testSettings)
	var bootTime time.Duration
	g.suspension = suspension.NewWithClocks(func() time.Duration { return 0 }, func() time.Duration { return bootTime })
	g.suspension.OnResume(g.onResume)
	return g, func(d time.Duration) {
		bootTime += d
		g.suspension.Check()
	}
}

func TestAgesIncludeSuspension(t *testing.T) {
	const suspended = 4 * time.Second
	g, suspend := newSuspendableGateway(t)
	g.versions.Merge([]feed.NamedVersion{feed.NewNamedVersion("menu", 2, time.Second)}, time.Now())
	g.backends.applyRegistration(registry.NewRegistration("i-1", "menu", "127.0.0.1:9", "hall-a", "v1", 4, registry.Ready, 0, nil, 1, 0))
	g.backends.applyLoadReport(feed.NewLoad("menu", "127.0.0.1:9", "menu", 2, 1, 0, 1, false, false))
	q := &request{deadline: time.Now().Add(5 * time.Second), suspension: g.suspension, suspendedBefore: g.suspension.Total()}
	suspend(suspended)
	if age := time.Since(g.versions.Newest("menu").NamedAt()); age < suspended+time.Second {
		t.Errorf("the version is %s old", age)
	}
	if left := q.remaining(); left > time.Second {
		t.Errorf("%s are left until the caller's deadline", left)
	}
	later := &request{deadline: time.Now().Add(5 * time.Second), suspension: g.suspension, suspendedBefore: g.suspension.Total()}
	if left := later.remaining(); left < 4*time.Second {
		t.Errorf("%s are left until the deadline of a later request", left)
	}
	if g.backends.forService("menu")[0].load(time.Now()).fresh {
		t.Error("a load reported before the suspension counts as fresh")
	}
}

// Guards against engines that get no requests while their version may still serve: an age that arrived after
// the VM had resumed, and before the suspension was detected, was increased by the suspension again. All
// other processes take the greatest age that one of them knows.
func TestAgeReportedAfterSuspensionIsNotIncreased(t *testing.T) {
	const suspended, age = 4 * time.Second, time.Second
	g := newGateway(t, testSettings)
	var bootTime time.Duration
	g.suspension = suspension.NewWithClocks(func() time.Duration { return 0 }, func() time.Duration { return bootTime })
	g.suspension.OnResume(g.onResume)
	bootTime += suspended
	update := feed.NewUpdate(0, nil, []feed.NamedVersion{feed.NewNamedVersion("menu", 2, age)}, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, nil)
	g.applyUpdate("10.0.0.9:7700", update)
	g.suspension.Check()
	if got := time.Since(g.versions.Newest("menu").NamedAt()); got >= age+suspended {
		t.Errorf("the version is %s old here, and %s at the sender", got, age)
	}
}
