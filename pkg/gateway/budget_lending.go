// ================================================================
// Lending of retries between gateways. The budget is a share of the requests of all gateways, and
// each gateway keeps its part. If many streams of one gateway break together, it may have spent its
// part while others have retries left. A started stream that finds no retry here asks another
// gateway, which counts the retry as its own, so the sum stays the same. It has the same claim there
// as the lender's own started streams. First attempts don't borrow: if refused, they can try again.
// ================================================================

package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// lendTimeout is how long a lender may take to answer, and maxLendersAsked how many gateways are
	// asked in a row.
	lendTimeout     = 40 * time.Millisecond
	maxLendersAsked = 2
	// borrowBackoff is the pause after no lender had a retry, since their windows advance slowly.
	borrowBackoff = 250 * time.Millisecond
)

// borrowRetry takes a retry for a started stream from the budget of another gateway.
func (g *Gateway) borrowRetry(q *request) bool {
	now := time.Now()
	if !q.headWritten || now.Before(g.nextBorrow.time()) {
		return false
	}
	for _, address := range g.lenders() {
		ctx, cancel := context.WithTimeout(q.ctx, lendTimeout)
		answer, err := g.askLender(ctx, address, contract.NewRetryLoanRequest(q.service.Name()))
		cancel()
		if err == nil && answer.Granted() {
			q.uncharged = true
			g.metrics.borrowed.Inc()
			return true
		}
	}
	g.nextBorrow.set(now.Add(borrowBackoff))
	return false
}

// lenders returns a random selection of the other gateways.
func (g *Gateway) lenders() []string {
	var all []string
	for address, peer := range g.limitOwners.listed() {
		if peer.Gateway() && address != g.process.Identity.Address() {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	for i := range min(maxLendersAsked, len(all)) {
		j := i + int(g.random()*float64(len(all)-i))
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(maxLendersAsked, len(all))]
}

// serveRetryLoan answers another gateway's request for a retry.
func (g *Gateway) serveRetryLoan(_ context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(lendTimeout))
	var request contract.RetryLoanRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	return stream.Send(contract.NewRetryLoanResponse(g.lendRetry(request.Service())))
}

// lendRetry takes a retry from this gateway's budget for another gateway.
func (g *Gateway) lendRetry(service string) bool {
	return g.budget.takeRetry(service, g.countGateways())
}

// callLender asks another gateway for a retry over a link.
func (g *Gateway) callLender(ctx context.Context, address string, request contract.RetryLoanRequest) (contract.RetryLoanResponse, error) {
	var answer contract.RetryLoanResponse
	err := g.process.Endpoint.Call(ctx, address, link.KindRetryLoan, request, &answer)
	return answer, err
}
