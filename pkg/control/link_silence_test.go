package control

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/controllog"
)

// leadership returns the term and the name of the leader, once a leader commits.
func (c *cluster) leadership() (term uint64, leader string) {
	c.t.Helper()
	c.awaitVoters(c.nodes...)
	for _, n := range c.nodes {
		if s := n.node.member.state(); s.Role == controllog.Leader && s.Term > term {
			term, leader = s.Term, n.name
		}
	}
	return term, leader
}

// Guards against this failure: when all open connections go silent while new ones work, control
// nodes acknowledge nothing for seconds, and the leader changes. Heartbeats and their answers are
// one-way messages over the connection that the sender dialed. They are lost until a ping detects
// the silent connection after 2 to 4 s, but an election starts after 0.7 s without a leader.
// Missing heartbeats have to trigger a probe of the connection, so that the leader keeps its term.
// On a slow machine a single round may still change the leader, hence several rounds. Acknowledged
// changes are kept in any case.
func TestLeaderKeepsLeadershipWhenLinksGoSilent(t *testing.T) {
	c := newCluster(t, 3)
	const rounds = 4
	kept := 0
	for round := range uint64(rounds) {
		term, leader := c.leadership()
		c.put(c.nodes[round%3], 2*round+1)
		for _, n := range c.nodes {
			n.silencer.Silence()
		}
		// Any node accepts the next change, and all nodes return it.
		c.put(c.nodes[(round+1)%3], 2*round+2)
		for _, n := range c.nodes {
			c.requireRead(n, 2*round+2)
		}
		if newTerm, newLeader := c.leadership(); newTerm == term && newLeader == leader {
			kept++
		}
	}
	if kept == 0 {
		t.Errorf("the leader changed in each of %d rounds", rounds)
	}
}
