package gateway

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serverlimit"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against a burst above a server's limit: streams that waited for a retry each kept a permit for as
// long, so permits piled up, and all were used at once when retries became available.
func TestPermitsAreNotKeptWhileStreamsWaitForRetries(t *testing.T) {
	const streams, perSecond, wait, deadline = 30, 2.0, 20 * time.Second, 90 * time.Second
	g := newGateway(t, testSettings)
	self := g.process.Identity
	g.limitOwners.listed = func() map[string]feed.Peer {
		return map[string]feed.Peer{self.Address(): feed.NewPeer(self.Address(), self.Domain(), "", "", false, true)}
	}
	g.protocol.StreamIdleTimeout = func(time.Duration, time.Duration) time.Duration { return deadline }
	route := serviceconfig.NewRoute("r", "h", "/", serviceconfig.Stream, deadline, 400*time.Millisecond, 400*time.Millisecond, 1, nil, 2, false, true, nil)
	service := serviceconfig.NewService("menu", "", 0, "", serviceconfig.Engine{}, false, 0)
	synctest.Test(t, func(t *testing.T) {
		g.budget = fullWindowBudget(0, 100*streams*assumedGateways, time.Second)
		g.budget.stop()
		g.backends.applyRegistration(registry.NewRegistration("s-1", "menu", "127.0.0.1:9", "hall-a", "v1", 64, registry.Ready, 0, nil, 1, 0))
		b := g.backends.forService("menu")[0]
		b.limit.update(serverlimit.ParseHeader([]string{"2"}), time.Now())
		var mu sync.Mutex
		var sent []time.Time
		var waiting sync.WaitGroup
		for range streams {
			now := time.Now()
			q := &request{ctx: t.Context(), route: &route, service: &service, started: now, deadline: now.Add(deadline), tried: map[*backend]bool{}, ranAt: map[*backend]bool{}, sent: 1, headWritten: true, lastEventAt: now}
			waiting.Go(func() {
				if chosen, _ := g.pickWithRetry(q); chosen == nil {
					return
				}
				if _, permitted := q.takePermit(b); permitted {
					mu.Lock()
					defer mu.Unlock()
					sent = append(sent, time.Now())
				}
			})
		}
		time.Sleep(wait)
		g.budget.mu.Lock()
		g.budget.closed = false
		g.budget.mu.Unlock()
		waiting.Wait()
		slices.SortFunc(sent, time.Time.Compare)
		if len(sent) != streams {
			t.Errorf("%d of %d streams were sent", len(sent), streams)
		}
		most := 0
		for i, at := range sent {
			inWindow := 0
			for _, later := range sent[i:] {
				if later.Sub(at) < limitWindow {
					inWindow++
				}
			}
			most = max(most, inWindow)
		}
		if allowed := int(allowedFactor*perSecond*limitWindow.Seconds()) + allowedSlack; most > allowed {
			t.Errorf("%d requests within %s at a limit of %g per second, allowed are %d", most, limitWindow, perSecond, allowed)
		}
	})
}
