// ================================================================
// Questions for permits and reports of what became of them, over the links between gateways.
// ================================================================

package gateway

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/serverlimit"
)

// permitReportTimeout bounds the telling of a report.
const permitReportTimeout = time.Second

// servePermit answers another gateway.
func (g *Gateway) servePermit(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(ownerTimeout))
	var a serverlimit.PermitRequest
	if err := stream.Receive(&a); err != nil {
		return err
	}
	return stream.Send(g.answerPermit(ctx, a))
}

// reportPermit tells the owner of a limit what became of a permit, beside what else happens. One
// that is lost costs a permit, or is told again with the next.
func (g *Gateway) reportPermit(p *permit, outcome serverlimit.Outcome, perSecond float64) {
	r := serverlimit.NewPermitReport(p.server, p.granted, outcome, perSecond)
	if p.owner == g.process.Identity.Address() {
		g.limitOwners.limiter.ApplyReport(time.Now(), r)
		return
	}
	if p.owner == "" {
		g.limitOwners.standalone.ApplyReport(time.Now(), r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.runContext, permitReportTimeout)
		defer cancel()
		_ = g.limitOwners.report(ctx, p.owner, r)
	}()
}

// servePermitReport takes what another gateway says became of a permit.
func (g *Gateway) servePermitReport(_ context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(permitReportTimeout))
	var r serverlimit.PermitReport
	if err := stream.Receive(&r); err != nil {
		return err
	}
	g.limitOwners.limiter.ApplyReport(time.Now(), r)
	return stream.Send(r)
}

func (g *Gateway) sendPermitRequest(ctx context.Context, address string, a serverlimit.PermitRequest) (serverlimit.PermitResponse, error) {
	var answer serverlimit.PermitResponse
	err := g.process.Endpoint.Call(ctx, address, link.KindPermit, a, &answer)
	return answer, err
}

func (g *Gateway) sendPermitReport(ctx context.Context, address string, r serverlimit.PermitReport) error {
	var heard serverlimit.PermitReport
	return g.process.Endpoint.Call(ctx, address, link.KindPermitReport, r, &heard)
}
