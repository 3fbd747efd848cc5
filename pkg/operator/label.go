// ================================================================
// The command label: changes the labels of a VM. Groups and services select VMs by label, so a label
// decides which models and services a VM gets.
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
	summary: "Set or remove labels of a VM; they override those of its settings",
	example: "  tidepost label larder-07 purpose=menu\n  tidepost label larder-07 purpose-",
	build:   buildLabel,
}

func buildLabel(c *cobra.Command, s *client) func(context.Context, []string) error {
	c.Args = cobra.MinimumNArgs(2)
	wait := c.Flags().Bool("wait", false, "wait until the change is in force on every VM whose heartbeats arrive")
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
	// The change is based on the revision at which the labels were read: if two operators label one
	// VM at the same time, the second change fails with a conflict and overwrites nothing.
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

// editLabels sets and removes labels in place. A removed key is stored, because the VM's own settings
// may contain it.
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
