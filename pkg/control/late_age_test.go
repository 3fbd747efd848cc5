package control

import (
	"context"
	"testing"

	"github.com/tidepost/tidepost/pkg/feed"
)

// Seen: a request began on old weights 0.1 s after their time was over. Its gateway had it
// in its hands all the while, did not take it back, and passed the answer on.
//
// How: links between regions were full of documents, and some control nodes applied the
// naming of the new weights up to 3.7 s after it was acknowledged, without any of them being
// disturbed. Each told the moment at which it applied it itself. A gateway follows two nodes
// and takes the earlier moment; where both were late by more than 0.6 s, so were the moment
// at which it takes requests back and the last one at which it sends any.
//
// Cause: the moment of an agreed change was each node's own. Nothing carried it from those
// who knew better to those who applied late, and a later naming ended all corrections.
// Proved by days with such documents, where gateways that followed two late nodes served old
// weights by as much longer, and none did once nodes learn ages from each other.
func TestNodeApplyingLateGetsVersionAgeFromAnother(t *testing.T) {
	update := feed.NewUpdate(0, nil, []feed.NamedVersion{feed.NewNamedVersion("menu", 2, clockAdvance)}, nil, true, nil, 0, false, nil, nil, nil, nil, nil, nil)
	receive := func(n *testNode) { n.node.receiveNodeUpdate("10.0.0.9:7700", update) }
	name := func(c *cluster) {
		c.eventually("name", func() error { return c.nodes[0].node.service.NameVersion(context.Background(), "menu", 2) })
	}
	for order, run := range map[string]func(c *cluster){
		"heard after it applied it":  func(c *cluster) { name(c); receive(c.nodes[0]) },
		"heard before it applied it": func(c *cluster) { receive(c.nodes[0]); name(c) },
		"heard after a later naming": func(c *cluster) {
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
