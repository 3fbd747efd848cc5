package control

import (
	"context"
	"errors"
	"testing"

	"github.com/tidepost/tidepost/pkg/controllog"
)

// Seen: at the end of a day with documents of 12,000 routes no node answered the read of the
// configuration for 3 s, though it had been in force for long: CONFIG in half of the plays.
//
// How: links between regions carried the documents to followers, and a node that is not the
// leader fetched the document once more from the leader for each read, which may take 0.3 s.
// Cause: the leader has to say which configuration is the newest, and was asked for all of it.
// Shown by a node that is not the leader: by its log it held version 13 (`held already`) five
// seconds before the read that it did not answer. Proved by plays without the document, and here
// by what the leader sends.
func TestReadOmitsDocumentAppliedByNode(t *testing.T) {
	const number = 7
	c := newCluster(t, 3)
	c.awaitVoters(c.nodes...)
	c.put(c.nodes[0], number)
	ctx := context.Background()
	for _, n := range c.nodes {
		c.eventually("apply", func() error {
			if n.node.service.state.ConfigurationNumber() != number {
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
				t.Errorf("%s read %d", n.name, read.document.Number())
			}
			return err
		})
		if n.node.member.state().Role == controllog.Leader {
			continue
		}
		for _, holds := range []uint64{number - 1, number} {
			var answer leaderResponse
			c.eventually("ask", func() (err error) {
				answer, err = s.callLeaderOnce(ctx, leaderRequest{appliedNumber: holds})
				return err
			})
			if sent := answer.configuration != nil; sent != (holds < number) || answer.number != number {
				t.Errorf("a node that holds %d was told %d, and sent a document: %t", holds, answer.number, sent)
			}
		}
	}
}
