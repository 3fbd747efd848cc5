package gateway

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Seen: `attempt cut: the stream broke off`, then `the budget of repeats is used up`, at one of
// four gateways that had spent its part on 30 attempts within 10 s, while others had theirs. How
// and why: the budget is one for all, and each gateway kept its part for itself.
func TestStreamResumesWithBorrowedRetry(t *testing.T) {
	cut := newFakeBackend(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	next := newFakeBackend(t, "i-next", streamAfter(1))
	f := newFixture(t, serviceconfig.Stream, true, cut, next)
	lender := newGateway(t, testSettings)
	f.gateway.budget = fullWindowBudget(0, 0, 10*time.Second)
	f.gateway.limitOwners.listed = func() map[string]feed.Peer {
		return map[string]feed.Peer{"10.0.0.2:7700": feed.NewPeer("10.0.0.2:7700", "hall-b", "", "", false, true)}
	}
	f.gateway.askLender = func(_ context.Context, _ string, a contract.RepeatAsk) (contract.RepeatAnswer, error) {
		return contract.NewRepeatAnswer(lender.lendRetry(a.Service())), nil
	}
	status, _, body, err := f.do(t, f.request(t, http.MethodPost, "a", "draft"))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	counted := 0
	for _, n := range lender.budget.usage(1).Services()[0].Retries() {
		counted += n
	}
	if counted != 1 {
		t.Errorf("the lender counts %d repeats", counted)
	}
}

// All gateways together send no more than the budget, however they lend; and one that has told
// what it had spent lends nothing more.
func TestLentRetriesStayWithinBudget(t *testing.T) {
	const steps = 300
	f := newBudgetFleet()
	for step := range steps {
		f.step(step, 3, step > 120)
		for _, b := range f.gateways {
			for step > 120 && b.takeRetryWithin("menu", fleetSize, lendShare) {
				f.retries[step]++
			}
		}
	}
	f.check(t, steps)
	b := fullWindowBudget(0, 100, fleetWindow)
	b.stop()
	if b.takeRetryWithin("menu", 1, lendShare) {
		t.Error("a gateway lent a repeat after its last word")
	}
}
