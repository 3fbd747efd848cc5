// ================================================================
// What a copier's neighbours hold: one stream of announcements from each.
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

// listen keeps one stream of announcements open from each neighbour.
func (c *copier) listen(ctx context.Context, neighbours []vm.Identity) {
	wanted := map[vm.ID]bool{}
	for _, n := range neighbours {
		wanted[n.ID()] = true
		if c.listening[n.ID()] != nil {
			continue
		}
		listenContext, cancel := context.WithCancel(ctx)
		c.listening[n.ID()] = cancel
		go c.listenTo(listenContext, n)
	}
	for id, cancel := range c.listening {
		if !wanted[id] {
			cancel()
			delete(c.listening, id)
		}
	}
}

func (c *copier) stopListening() {
	for id, cancel := range c.listening {
		cancel()
		delete(c.listening, id)
	}
}

func (c *copier) listenTo(ctx context.Context, n vm.Identity) {
	defer c.post(ctx, func(time.Time) { delete(c.listening, n.ID()) })
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
