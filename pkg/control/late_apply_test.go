package control

import (
	"context"
	"testing"

	"github.com/tidepost/tidepost/pkg/feed"
)

// Guards against this failure: a request starts on old weights 0.1 s after their time limit. When
// links between regions are saturated with documents, healthy nodes apply a new version up to 3.7 s
// after it was acknowledged. If each publishes its own time of applying it, a gateway that follows
// two late nodes (by more than 0.6 s) withdraws requests too late. Nodes have to take the age from
// each other, also after a later version was named.
func TestNodeApplyingLateGetsVersionAgeFromAnother(t *testing.T) {
	update := feed.NewUpdate(0, nil, []feed.NamedVersion{feed.NewNamedVersion("menu", 2, clockAdvance)}, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil, nil)
	receive := func(n *testNode) { n.node.receiveNodeUpdate("10.0.0.9:7700", update) }
	name := func(c *cluster) {
		c.eventually("name", func() error { return c.nodes[0].node.service.NameVersion(context.Background(), "menu", 2) })
	}
	for order, run := range map[string]func(c *cluster){
		"received after applying":  func(c *cluster) { name(c); receive(c.nodes[0]) },
		"received before applying": func(c *cluster) { receive(c.nodes[0]); name(c) },
		"received after a later version": func(c *cluster) {
			name(c)
			c.eventually("name", func() error { return c.nodes[0].node.service.NameVersion(context.Background(), "menu", 3) })
			receive(c.nodes[0])
		},
	} {
		t.Run(order, func(t *testing.T) {
			c := newCluster(t, 3)
			c.awaitVoters(c.nodes...)
			run(c)
			c.awaitAge(c.nodes[0], 2, clockAdvance)
		})
	}
}
