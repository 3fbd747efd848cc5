// ================================================================
// Receives announcements of the chunks that a copier's neighbours hold, over one stream
// from each neighbour.
// ================================================================

package agent

import (
	"context"
	"time"

	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/spread"
	"github.com/tidepost/tidepost/pkg/vm"
)

// updateSubscriptions opens a stream of announcements from each new neighbour and closes
// those of former ones.
func (c *copier) updateSubscriptions(ctx context.Context, neighbours []vm.Identity) {
	wanted := map[vm.ID]bool{}
	for _, n := range neighbours {
		wanted[n.ID()] = true
		if c.subscriptions[n.ID()] != nil {
			continue
		}
		streamContext, cancel := context.WithCancel(ctx)
		c.subscriptions[n.ID()] = cancel
		go c.receiveAnnouncements(streamContext, n)
	}
	for id, cancel := range c.subscriptions {
		if !wanted[id] {
			cancel()
			delete(c.subscriptions, id)
		}
	}
}

func (c *copier) cancelSubscriptions() {
	for id, cancel := range c.subscriptions {
		cancel()
		delete(c.subscriptions, id)
	}
}

func (c *copier) receiveAnnouncements(ctx context.Context, n vm.Identity) {
	defer c.post(ctx, func(time.Time) { delete(c.subscriptions, n.ID()) })
	s, err := c.agent.process.Endpoint.Open(ctx, n.Address(), link.KindSubscribe, bus.TopicHave)
	if err != nil {
		return
	}
	defer s.Close()
	if err := s.Send(c.assignment.Digest); err != nil {
		return
	}
	for {
		var h contract.HeldChunks
		if err := s.Receive(&h); err != nil {
			return
		}
		c.post(ctx, func(time.Time) {
			if len(h.Held()) > 0 {
				c.swarm.PeerHasChunks(n.ID(), spread.BitmapOf(h.Held(), c.swarm.Total()))
			}
			for _, chunk := range h.Added() {
				c.swarm.PeerHasChunk(n.ID(), int(chunk))
			}
		})
	}
}
