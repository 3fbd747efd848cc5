package control

import (
	"context"
	"errors"
	"testing"

	"github.com/tidepost/tidepost/pkg/controllog"
)

// Guards against this failure: with documents of 12,000 routes no node answers a read of the
// configuration for 3 s, although the configuration has long been in force. Links between regions
// are saturated with documents for followers. If a node fetches the whole document from the leader
// for each read, that does not fit into the 0.3 s for one call. The leader has to send only the
// number of a configuration that the node has applied.
func TestReadOmitsDocumentAppliedByNode(t *testing.T) {
	const number = 7
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.put(c.nodes[0], number)
	ctx := context.Background()
	for _, n := range c.nodes {
		c.eventually("apply", func() error {
			if n.node.service.state.DocumentNumber() != number {
				return errors.New("not applied yet")
			}
			return nil
		})
	}
	for _, n := range c.nodes {
		s := n.node.service
		c.eventually("read", func() error {
			read, err := s.ReadConfiguration(ctx)
			if err == nil && read.document.Number() != number {
				t.Errorf("%s read configuration %d", n.name, read.document.Number())
			}
			return err
		})
		if n.node.member.state().Role == controllog.Leader {
			continue
		}
		for _, appliedNumber := range []uint64{number - 1, number} {
			var response leaderResponse
			c.eventually("ask", func() (err error) {
				response, err = s.callLeaderOnce(ctx, leaderRequest{appliedNumber: appliedNumber})
				return err
			})
			if sent := response.configuration != nil; sent != (appliedNumber < number) || response.number != number {
				t.Errorf("a node that has applied %d got number %d, and a document: %t", appliedNumber, response.number, sent)
			}
		}
	}
}
