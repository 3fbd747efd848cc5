// ================================================================
// The commands bootstrap and voter: form the cluster once, and change its voters.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

var bootstrapCommand = subcommand{
	name:    "bootstrap ADDRESS [ADDRESS ...]",
	summary: "Form a new cluster of voters, once: the first address alone, then the others one by one",
	example: "  tidepost bootstrap 10.0.1.2:7001 10.0.2.2:7001 10.0.3.2:7001",
	build:   buildBootstrap,
}

var voterCommand = subcommand{
	name:    "voter add ADDRESS | voter remove VM",
	summary: "Add a voter, or remove one; an added VM replaces its earlier incarnation",
	example: "  tidepost voter add 10.0.2.2:7001\n  tidepost voter remove entry-2",
	build:   buildVoter,
}

// voterPollInterval is the time between two checks of whether a voter was promoted, and between two
// attempts at a change of the voters.
const voterPollInterval = 100 * time.Millisecond

func buildBootstrap(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.MinimumNArgs(1)
	return func(ctx context.Context, addresses []string) error { return runBootstrap(ctx, s, addresses) }
}

func runBootstrap(ctx context.Context, s *client, addresses []string) error {
	s.entries = addresses
	endpoint, err := s.open()
	if err != nil {
		return err
	}
	var a contract.Acknowledgement
	change := contract.NewVoterChange(contract.VoterBootstrap, "", "", 0)
	if err := endpoint.Call(ctx, addresses[0], link.KindVoterChange, change, &a); err != nil {
		return err
	}
	for _, address := range addresses[1:] {
		if err := s.addVoter(ctx, address); err != nil {
			return err
		}
	}
	note := fmt.Sprintf("formed with %d voters", len(addresses))
	notes := []string{note}
	if len(addresses)%2 == 0 {
		notes = append(notes, "an even number of voters tolerates no more failures than one voter fewer; 3 or 5 are usual")
	}
	return s.show(report{notes: notes, data: fields("result", note)})
}

func buildVoter(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(2)
	c.ValidArgs = []string{"add", "remove"}
	return func(ctx context.Context, arguments []string) error {
		return runVoter(ctx, s, arguments[0], arguments[1])
	}
}

func runVoter(ctx context.Context, s *client, action, subject string) error {
	switch contract.VoterAction(action) {
	case contract.VoterAdd:
		if err := s.addVoter(ctx, subject); err != nil {
			return err
		}
	case contract.VoterRemove:
		if err := s.changeVoters(ctx, contract.NewVoterChange(contract.VoterRemove, subject, "", 0)); err != nil {
			return err
		}
	default:
		return usageError{fmt.Errorf("%q is not add or remove", action)}
	}
	note := "voter " + action + " " + subject + ": done"
	return s.show(report{notes: []string{note}, data: fields("result", note)})
}

// addVoter adds a voter. It waits until the voter is promoted from learner and no earlier incarnation
// of its VM is a member.
func (s *client) addVoter(ctx context.Context, address string) error {
	if err := s.changeVoters(ctx, contract.NewVoterChange(contract.VoterAdd, "", address, 0)); err != nil {
		return err
	}
	for {
		promoted, err := s.isPromoted(ctx, address)
		if err != nil || promoted {
			return err
		}
		if !sleepOrDone(ctx, voterPollInterval) {
			return failure.New(failure.DeadlineExceeded, "the voter at %s is still a learner", address)
		}
	}
}

// isPromoted reports whether the voter at an address votes and no other incarnation of its VM is a
// member.
func (s *client) isPromoted(ctx context.Context, address string) (bool, error) {
	var status contract.Status
	if err := s.call(ctx, link.KindStatus, contract.Acknowledgement{}, &status); err != nil {
		return false, err
	}
	var added contract.MemberStatus
	for _, v := range status.Members() {
		if v.Address() == address && !v.Learner() {
			added = v
		}
	}
	for _, v := range status.Members() {
		if v.ID() == added.ID() && v.Incarnation() != added.Incarnation() {
			return false, nil
		}
	}
	return added.ID() != "", nil
}

// changeVoters sends a change of the voters. It retries while the change is not safe yet or no leader
// takes it, until ctx ends.
func (s *client) changeVoters(ctx context.Context, c contract.VoterChange) error {
	for {
		var a contract.Acknowledgement
		err := s.call(ctx, link.KindVoterChange, c, &a)
		if err == nil {
			return nil
		}
		kind := failure.Of(err).Kind()
		if kind != failure.BadVoterChange && kind != failure.NotLeader || !sleepOrDone(ctx, voterPollInterval) {
			return err
		}
	}
}

// sleepOrDone waits for d and reports whether it passed before ctx ended.
func sleepOrDone(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
