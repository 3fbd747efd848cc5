// ================================================================
// Notices: a stager that gets a chunk whose way leads on through it tells the
// next ones that it has it, and they ask for it. So nobody asks too early, and
// whoever receives decides how much is on its way to it: the VM's link is the
// engine's too, and one that is narrow must not be flooded.
//
// Rejected: sending the chunks unasked. Many senders together queued seconds of
// chunks on a narrow link, and requests to its engine waited behind them.
// Rejected too: only asking. Askers learnt late, and half of what the links
// carry went unused.
// ================================================================

package staging

import (
	"context"
	"slices"

	"github.com/tidepost/tidepost/pkg/link"
)

// notice tells which chunks the sender has.
//
//wire:generate
type notice struct {
	// model and version say of what.
	model   string
	version uint64
	// heldBits are the chunks that the sender has, one bit each.
	heldBits []byte
}

// notify tells those who get a chunk from here that it is here, the first
// engine to take the version first.
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

// serveNotices takes the notices of another stager.
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
