package gateway

import (
	"bufio"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against streams that end with "the budget of repeats is used up" while other gateways
// have retries left. The budget covers all gateways, but one had spent its part on 30 attempts
// within 10 s.
func TestStreamResumesWithBorrowedRetry(t *testing.T) {
	breaking := newFakeBackend(t, "i-cut", func(w *bufio.Writer, r *http.Request) bool {
		writeEvents(w, r, 1, 1)
		return false
	})
	next := newFakeBackend(t, "i-next", streamAfter(1))
	f := newFixture(t, serviceconfig.Stream, true, breaking, next)
	lender := newGateway(t, testSettings)
	f.gateway.budget = fullWindowBudget(0, 0, 10*time.Second)
	f.gateway.limitOwners.listed = func() map[string]feed.Peer {
		return map[string]feed.Peer{"10.0.0.2:7700": feed.NewPeer("10.0.0.2:7700", "hall-b", "", "", false, true)}
	}
	f.gateway.askLender = func(_ context.Context, _ string, a contract.RetryLoanRequest) (contract.RetryLoanResponse, error) {
		return contract.NewRetryLoanResponse(lender.lendRetry(a.Service())), nil
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
		t.Errorf("the lender counts %d retries", counted)
	}
}

// Guards against streams that end without a retry while other gateways have some. A gateway kept half of its
// budget for its own streams, and of the few retries that it has at size or after its start nearly all.
func TestGatewayLendsItsLastRetry(t *testing.T) {
	const retries = 4
	lender := newGateway(t, testSettings)
	lender.budget = fullWindowBudget(0, retries/budgetSafetyFactor*float64(lender.countGateways()), 10*time.Second)
	for n := range retries {
		if !lender.lendRetry("menu") {
			t.Fatalf("it lent %d of its %d retries", n, retries)
		}
	}
	if lender.lendRetry("menu") {
		t.Error("it lent a retry that it does not have")
	}
}

// Guards against a retry that is spent at a server which was chosen long before: a stream waited 0.7 s for the
// retry, and the server that it had chosen then had become full and rejected it.
func TestStreamChoosesAgainAfterWaitForRetry(t *testing.T) {
	const wait = 6 * yieldRetryInterval
	leaving, next := newFakeBackend(t, "i-leaving", streamAfter(1)), newFakeBackend(t, "i-next", streamAfter(1))
	f := newFixtureWithBrokenStream(t, leaving, next)
	f.gateway.budget = fullWindowBudget(0, 0, 10*time.Second)
	f.gateway.limitOwners.listed = func() map[string]feed.Peer {
		return map[string]feed.Peer{"10.0.0.2:7700": feed.NewPeer("10.0.0.2:7700", "hall-b", "", "", false, true)}
	}
	var once sync.Once
	var firstAsked time.Time
	f.gateway.askLender = func(context.Context, string, contract.RetryLoanRequest) (contract.RetryLoanResponse, error) {
		once.Do(func() {
			firstAsked = time.Now()
			f.gateway.backends.markDeparted("i-leaving", 0)
		})
		return contract.NewRetryLoanResponse(time.Since(firstAsked) > wait), nil
	}
	status, _, body, err := f.do(t, f.draftRequest(t))
	if status != http.StatusOK || body != events(1, 3) || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if n := len(leaving.requests()); n > 0 {
		t.Errorf("it was sent %d times to the server that left while the stream waited for a retry", n)
	}
}

// All gateways together stay within the budget, however they lend, and a gateway that has
// reported its usage lends no more.
func TestLentRetriesStayWithinBudget(t *testing.T) {
	const steps = 300
	f := newBudgetFleet()
	for step := range steps {
		f.step(step, 3, step > 120)
		for _, b := range f.gateways {
			for step > 120 && b.takeRetry("menu", fleetSize) {
				f.retries[step]++
			}
		}
	}
	f.check(t, steps)
	b := fullWindowBudget(0, 100, fleetWindow)
	b.stop()
	if b.takeRetry("menu", 1) {
		t.Error("a gateway lent a retry after it reported its usage")
	}
}
