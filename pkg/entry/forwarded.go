// ================================================================
// Serves requests that an entry of another failure domain forwards because it has no
// available replica. They are routed within this domain only, so a request is forwarded
// at most once.
// ================================================================

package entry

import (
	"context"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

func (e *Entry) serveForwarded(ctx context.Context, s *link.Stream) error {
	var r contract.Request
	if err := s.Receive(&r); err != nil {
		return failure.Of(err).WithRan(failure.NotRun)
	}
	if e.draining.Load() {
		return failure.New(failure.Draining, "this entry is draining")
	}
	if err := e.checkReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, r.DeadlineTime())
	defer cancel()
	if r.Repeatable() {
		s.OnPeerClosed(cancel)
	}
	e.metrics.forwarded.Inc()
	out := &sink{write: func(part contract.ResponsePart) error { return s.Send(part) }}
	return e.execute(ctx, &pendingRequest{request: r, forwarded: true}, out)
}
