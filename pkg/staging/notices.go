// ================================================================
// Notices: a member that receives a chunk notifies the next members of the plan, which then request
// it. So no request comes too early, and the receiver limits the chunks in flight to it.
// ================================================================

package staging

import (
	"context"
	"slices"

	"github.com/tidepost/tidepost/pkg/link"
)

// notice lists the chunks that the sender holds.
//
//wire:generate
type notice struct {
	// model and version identify the copy.
	model   string
	version uint64
	// heldBits are the chunks that the sender holds, one bit each.
	heldBits []byte
}

// notify notifies the targets of a chunk that it is available here, in rollout order.
//
// Chunks are not sent without a request: the engine's traffic shares the receiver's link, and many
// senders queued seconds of chunks on a narrow link, with requests to its engine behind them.
// Requests without notices left half of the links' capacity unused, since members learned of
// available chunks too late.
func (m *Member) notify(c *weightsCopy, number int) {
	if c.readableFromEngine.Load() {
		return
	}
	targets := m.planFor(c).targets(number)
	order := m.rolloutOrder(c.manifest.model)
	slices.SortFunc(targets, func(a, b string) int { return slices.Index(order, a) - slices.Index(order, b) })
	n := notice{c.manifest.model, c.manifest.version, c.heldBits()}
	for _, t := range targets {
		if !c.isHeldBy(t, number) {
			m.notices.Send(t, t, n)
		}
	}
}

// serveNotices receives the notices of another member.
func (m *Member) serveNotices(_ context.Context, stream *link.Stream) error {
	from := stream.Peer().Address()
	for {
		var n notice
		if err := stream.Receive(&n); err != nil {
			return nil
		}
		if c := m.copyOf(n.model, n.version); c != nil {
			c.addHoldings(from, n.heldBits)
		}
	}
}
