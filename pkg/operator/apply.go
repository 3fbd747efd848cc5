// ================================================================
// The command apply: submits a document as one configuration change. The change ID is created once
// and kept across retries, so that a retry after a lost response does not apply the change twice.
// ================================================================

package operator

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
)

var applyCommand = subcommand{
	name:    "apply -f FILE",
	summary: "Apply a document of models, groups, organisations, services and labels",
	example: "  tidepost apply -f menu.yaml\n  tidepost apply -f menu.yaml --wait\n  tidepost apply -f menu.yaml --base 41 --id change-2026-12-02",
	build:   buildApply,
}

const (
	// applyRetryInterval is the time between two attempts to submit one change.
	applyRetryInterval = 200 * time.Millisecond
	// inForcePollInterval is the time between two checks of which processes lag.
	inForcePollInterval = 100 * time.Millisecond
)

// applyOptions are the flags of apply.
type applyOptions struct {
	file string
	id   string
	base int64
	wait bool
}

func buildApply(c *cobra.Command, s *client) func(context.Context, []string) error {
	var o applyOptions
	c.Args = cobra.NoArgs
	c.Flags().StringVarP(&o.file, "file", "f", "", "document, or - for standard input")
	c.Flags().StringVar(&o.id, "id", "", "change id; resending a change with the same id returns the first result (default: a new id)")
	c.Flags().Int64Var(&o.base, "base", -1, "revision that the change is based on (default: the current one)")
	c.Flags().BoolVar(&o.wait, "wait", false, "wait until the change is in force on every VM whose heartbeats arrive")
	_ = c.MarkFlagRequired("file")
	return func(ctx context.Context, _ []string) error { return runApply(ctx, s, o) }
}

func runApply(ctx context.Context, s *client, o applyOptions) error {
	p, err := readDocument(o.file)
	if err != nil {
		return err
	}
	result, err := s.submit(ctx, p, o.id, o.base)
	if err != nil {
		return err
	}
	if o.wait {
		if err := s.waitInForce(ctx, result.Revision()); err != nil {
			return err
		}
	}
	return s.showApplied(result.Revision(), o.wait)
}

// appliedView is the output of apply in JSON and YAML.
type appliedView struct {
	Revision uint64 `json:"revision" yaml:"revision"`
	InForce  bool   `json:"in_force_everywhere" yaml:"in_force_everywhere"`
}

func (s *client) showApplied(revision uint64, waited bool) error {
	note := fmt.Sprintf("accepted: revision %d", revision)
	if waited {
		note += ", in force on every VM"
	}
	return s.show(report{notes: []string{note}, data: appliedView{revision, waited}})
}

// submit sends a change until it gets a result, fails for a reason that a retry does not change, or ctx
// ends. An empty id stands for a new one, a negative base for the current revision.
func (s *client) submit(ctx context.Context, p parsedDocument, id string, base int64) (contract.ChangeResult, error) {
	if id == "" {
		id = uuid.NewString()
	}
	revision := uint64(base)
	if base < 0 {
		var err error
		if revision, err = s.currentRevision(ctx); err != nil {
			return contract.ChangeResult{}, err
		}
	}
	content, err := msgpack.Marshal([]any{p.objects, p.models, revision})
	if err != nil {
		return contract.ChangeResult{}, err
	}
	change := contract.NewChange(id, operatorName(), revision, p.objects, contract.DigestOf(content))
	for {
		var result contract.ChangeResult
		err := s.call(ctx, link.KindApply, contract.NewApplyRequest(change, p.models), &result)
		if err == nil {
			if result.Refusal() != nil {
				return result, result.Refusal()
			}
			return result, nil
		}
		if !isRetryable(err) || ctx.Err() != nil {
			return result, err
		}
		time.Sleep(applyRetryInterval)
	}
}

// isRetryable reports whether the same change may be accepted at a later attempt.
func isRetryable(err error) bool {
	kind := failure.Of(err).Kind()
	return tryNextEntry[kind] || kind == failure.NoQuorum || kind == failure.Overloaded
}

func (s *client) currentRevision(ctx context.Context) (uint64, error) {
	var q contract.QueryResult
	err := s.call(ctx, link.KindQuery, contract.NewQuery(contract.KindSource, "-", false), &q)
	return q.Revision(), err
}

// waitInForce waits until the revision is in force on every agent and entry whose heartbeats the
// asked entries receive.
func (s *client) waitInForce(ctx context.Context, revision uint64) error {
	for {
		lagging := []string{}
		for _, address := range s.entries {
			status, err := s.statusOf(ctx, address)
			if err != nil {
				return err
			}
			lagging = append(lagging, laggingProcesses(status, revision)...)
		}
		if len(lagging) == 0 {
			return nil
		}
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return failure.New(failure.DeadlineExceeded, "revision %d is not in force yet on %v", revision, lagging)
		}
	}
}

// laggingProcesses returns the entries and agents whose revision is older than the given one.
func laggingProcesses(status contract.Status, revision uint64) []string {
	var names []string
	if status.Revision() < revision {
		names = append(names, string(status.Entry().ID()))
	}
	for _, a := range status.Agents() {
		if a.LastHeartbeat().Revision() < revision {
			names = append(names, string(a.LastHeartbeat().From().ID())+" at "+strconv.FormatUint(a.LastHeartbeat().Revision(), 10))
		}
	}
	for _, b := range status.Entries() {
		if b.Revision() < revision {
			names = append(names, string(b.From().ID()))
		}
	}
	return names
}
