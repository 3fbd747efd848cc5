// ================================================================
// Permit requests and permit reports between gateways, over the links that connect them.
// ================================================================

package gateway

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/serverlimit"
)

// permitReportTimeout bounds the sending of a permit report.
const permitReportTimeout = time.Second

// servePermit answers a permit request of another gateway.
func (g *Gateway) servePermit(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(ownerTimeout))
	var request serverlimit.PermitRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	return stream.Send(g.answerPermit(ctx, request))
}

// reportPermit reports the outcome of a permit to the owner of the limit, without blocking its
// caller. A lost report wastes one permit, or its information comes with the next report.
func (g *Gateway) reportPermit(p *permit, outcome serverlimit.Outcome, perSecond float64) {
	report := serverlimit.NewPermitReport(p.server, p.granted, outcome, perSecond)
	if p.owner == g.process.Identity.Address() {
		g.limitOwners.limiter.ApplyReport(time.Now(), report)
		return
	}
	if p.owner == "" {
		g.limitOwners.standalone.ApplyReport(time.Now(), report)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.runContext, permitReportTimeout)
		defer cancel()
		_ = g.limitOwners.report(ctx, p.owner, report)
	}()
}

// servePermitReport applies a permit report of another gateway.
func (g *Gateway) servePermitReport(_ context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(permitReportTimeout))
	var report serverlimit.PermitReport
	if err := stream.Receive(&report); err != nil {
		return err
	}
	g.limitOwners.limiter.ApplyReport(time.Now(), report)
	return stream.Send(report)
}

// sendPermitRequest asks the gateway at a link address for a permit.
func (g *Gateway) sendPermitRequest(ctx context.Context, address string, request serverlimit.PermitRequest) (serverlimit.PermitResponse, error) {
	var answer serverlimit.PermitResponse
	err := g.process.Endpoint.Call(ctx, address, link.KindPermit, request, &answer)
	return answer, err
}

// sendPermitReport sends a permit report to the gateway at a link address.
func (g *Gateway) sendPermitReport(ctx context.Context, address string, report serverlimit.PermitReport) error {
	var echo serverlimit.PermitReport
	return g.process.Endpoint.Call(ctx, address, link.KindPermitReport, report, &echo)
}
