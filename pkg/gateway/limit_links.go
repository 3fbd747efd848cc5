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

// reportTimeout bounds the telling of a report.
const reportTimeout = time.Second

// servePermit answers another gateway.
func (g *Gateway) servePermit(ctx context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(ownerTimeout))
	var a serverlimit.Ask
	if err := stream.Receive(&a); err != nil {
		return err
	}
	return stream.Send(g.answerPermit(ctx, a))
}

// report tells the owner of a limit what became of a permit, beside what else happens. One
// that is lost costs a permit, or is told again with the next.
func (g *Gateway) report(p *permit, outcome serverlimit.Outcome, perSecond float64) {
	r := serverlimit.NewReport(p.server, p.granted, outcome, perSecond)
	if p.owner == g.process.Identity.Address() {
		g.limitOwners.limiter.Hear(time.Now(), r)
		return
	}
	if p.owner == "" {
		g.limitOwners.alone.Hear(time.Now(), r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.runContext, reportTimeout)
		defer cancel()
		_ = g.limitOwners.tell(ctx, p.owner, r)
	}()
}

// serveReport takes what another gateway says became of a permit.
func (g *Gateway) serveReport(_ context.Context, stream *link.Stream) error {
	stream.SetDeadline(time.Now().Add(reportTimeout))
	var r serverlimit.Report
	if err := stream.Receive(&r); err != nil {
		return err
	}
	g.limitOwners.limiter.Hear(time.Now(), r)
	return stream.Send(r)
}

func (g *Gateway) callOwner(ctx context.Context, address string, a serverlimit.Ask) (serverlimit.Answer, error) {
	var answer serverlimit.Answer
	err := g.process.Endpoint.Call(ctx, address, link.KindPermit, a, &answer)
	return answer, err
}

func (g *Gateway) tellOwner(ctx context.Context, address string, r serverlimit.Report) error {
	var heard serverlimit.Report
	return g.process.Endpoint.Call(ctx, address, link.KindPermitReport, r, &heard)
}
