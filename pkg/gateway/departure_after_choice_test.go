// ================================================================
// Departures and evacuations that become known between the choice of a server and the sending of the request.
// ================================================================

package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// Guards against a request that reaches a server long after it has left: whether it takes requests was
// checked only when it was chosen. A reservation or a dial follows, and a process may stand still meanwhile.
func TestServerThatLeavesAfterTheChoiceGetsNoRequest(t *testing.T) {
	const standstill = 2 * time.Second
	leaves := map[string]func(g *Gateway, e *scriptedEngine){
		"drains": func(g *Gateway, e *scriptedEngine) { e.world.register(g, e, registry.Draining) },
		"left":   func(g *Gateway, e *scriptedEngine) { g.backends.markDeparted(e.name, 0) },
		"evacuated": func(g *Gateway, e *scriptedEngine) {
			evacuated := placement.NewDomainState(e.domain, true, 1)
			g.applyUpdate("10.0.0.9:7700", feed.NewUpdate(0, nil, nil, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, []placement.DomainState{evacuated}))
		},
	}
	for name, leave := range leaves {
		for _, during := range []string{"reservation", "dial"} {
			t.Run(name+" during the "+during, func(t *testing.T) {
				runScripted(t, "a", "ab", func(w *scriptedWorld) {
					g, chosen := w.gateways[0], w.engines[0]
					standStill := func() {
						leave(g, chosen)
						time.Sleep(standstill)
					}
					if during == "reservation" {
						chosen.onAsked = standStill
					} else {
						w.dialWith(g, chosen, standStill)
					}
					c := w.ask(0, "id", 3, 10*time.Second)
					<-c.done
					w.checkComplete(c)
					for _, r := range w.runsOf("id") {
						if r.engine == chosen {
							t.Errorf("the request reached the server at %s, though the gateway knew at 0s that it takes none\n%s", w.at(r.receivedAt), w.describe("id"))
						}
					}
				})
			})
		}
	}
}

// dialWith makes a gateway call a function during each dial of an engine.
func (w *scriptedWorld) dialWith(g *Gateway, e *scriptedEngine, during func()) {
	for _, b := range g.backends.forService("menu") {
		if b.address != e.address {
			continue
		}
		b.pool = upstream.NewPoolWithDial(e.address, func(ctx context.Context, network, address string) (net.Conn, error) {
			during()
			return e.dial(ctx, network, address)
		})
	}
}
