// ================================================================
// label: change the labels of a VM. With selectors this is all that operators
// do: a VM that gets a label gets what the groups that select it carry.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

var labelCommand = subcommand{
	name:    "label VM KEY=VALUE|KEY- ...",
	summary: "Set or remove labels of a VM, over those of its settings",
	example: "  tidepost label larder-07 purpose=menu\n  tidepost label larder-07 purpose-",
	build:   buildLabel,
}

func buildLabel(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.MinimumNArgs(2)
	wait := c.Flags().Bool("wait", false, "return once the change is in force on every VM that is heard of")
	return func(ctx context.Context, arguments []string) error { return runLabel(ctx, s, arguments, *wait) }
}

func runLabel(ctx context.Context, s *client, arguments []string, wait bool) error {
	id := arguments[0]
	var q contract.QueryResult
	if err := s.call(ctx, link.KindQuery, contract.NewQuery(contract.KindLabels, id, false), &q); err != nil {
		return err
	}
	labels, removed := vm.Labels{}, map[string]bool{}
	for _, o := range q.Objects() {
		set, err := contract.DecodeBody[contract.LabelSet](o)
		if err != nil {
			return err
		}
		labels = labels.Merge(set.Labels())
		for _, key := range set.Removed() {
			removed[key] = true
		}
	}
	if err := editLabels(labels, removed, arguments[1:]); err != nil {
		return err
	}
	var p parsedDocument
	if err := p.addObject(contract.KindLabels, id, contract.NewLabelSet(labels, slices.Sorted(maps.Keys(removed)))); err != nil {
		return err
	}
	// The base is the revision that the labels were read at: two operators
	// who label one VM at the same time cannot undo each other unseen.
	result, err := s.submit(ctx, p, "", int64(q.Revision()))
	if err != nil {
		return err
	}
	if wait {
		if err := s.waitInForce(ctx, result.Revision()); err != nil {
			return err
		}
	}
	return s.showApplied(result.Revision(), wait)
}

// editLabels sets and removes labels. A removed key is remembered, since the
// VM's own settings may have it.
func editLabels(labels vm.Labels, removed map[string]bool, edits []string) error {
	for _, e := range edits {
		if key, value, ok := strings.Cut(e, "="); ok && key != "" {
			labels[key] = value
			delete(removed, key)
			continue
		}
		key, ok := strings.CutSuffix(e, "-")
		if !ok || key == "" {
			return usageError{fmt.Errorf("%q is not KEY=VALUE or KEY-", e)}
		}
		delete(labels, key)
		removed[key] = true
	}
	return nil
}
