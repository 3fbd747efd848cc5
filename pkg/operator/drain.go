// ================================================================
// The command drain: makes an agent or an entry stop accepting work and leave once it is idle.
// ================================================================

package operator

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

var drainCommand = subcommand{
	name:    "drain VM",
	summary: "Make an agent or entry stop accepting work, complete what is in flight, and leave",
	example: "  tidepost drain larder-07 --reason \"kernel update\"",
	build:   buildDrain,
}

func buildDrain(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.ExactArgs(1)
	reason := c.Flags().String("reason", "an operator asked", "reason, shown in the timeline")
	return func(ctx context.Context, arguments []string) error {
		return runDrain(ctx, s, contract.NewDrainRequest(vm.ID(arguments[0]), *reason))
	}
}

// runDrain sends the request to one entry after another until one has the VM in its failure domain.
func runDrain(ctx context.Context, s *client, d contract.DrainRequest) error {
	endpoint, err := s.open()
	if err != nil {
		return err
	}
	for _, address := range s.entries {
		var a contract.Acknowledgement
		err = endpoint.Call(ctx, address, link.KindDrain, d, &a)
		if err == nil {
			return s.show(report{notes: []string{string(d.VM()) + ": " + a.Note()}, data: fields("vm", string(d.VM()), "note", a.Note())})
		}
		if kind := failure.Of(err).Kind(); kind != failure.UnknownObject && kind != failure.Unreachable {
			return err
		}
	}
	return err
}
