// ================================================================
// The configuration on an agent: received from an entry, stored on disk for restarts,
// and reconciled with the copies of weights on this VM.
// ================================================================

package agent

import (
	"context"
	"sort"
	"time"

	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failuredomain"
	"github.com/tidepost/tidepost/pkg/vm"
)

func (a *Agent) follower() *configstate.Follower {
	return &configstate.Follower{
		Endpoint:  a.process.Endpoint,
		State:     a.state,
		Addresses: func() []string { return a.rankedEntries("config") },
		OnMessage: func(bool) {},
	}
}

// rankedEntries returns the entries in the order of preference for a subject, by
// rendezvous hashing. Different subjects are spread over the entries.
func (a *Agent) rankedEntries(subject string) []string {
	entries := append([]string(nil), a.settings.Entries()...)
	sort.Slice(entries, func(i, j int) bool {
		return failuredomain.Rank(subject, entries[i]) > failuredomain.Rank(subject, entries[j])
	})
	return entries
}

// restoreConfig applies the configuration that was stored before a restart, so that an
// agent without a reachable entry keeps working and revisions never go backwards.
func (a *Agent) restoreConfig() {
	raw, err := a.folder.Read(configFile)
	if err != nil {
		return
	}
	var d contract.Delta
	if err := msgpack.Unmarshal(raw, &d); err != nil {
		_ = level.Warn(a.process.Logger).Log("msg", "stored configuration cannot be decoded; waiting for one from an entry", "err", err)
		return
	}
	a.state.ApplyDelta(d)
}

// onConfigChange stores the configuration and wakes the reconciler.
func (a *Agent) onConfigChange() {
	if d, ok := a.state.Since(0); ok {
		if raw, err := msgpack.Marshal(d); err == nil {
			if err := a.folder.Replace(configFile, raw); err != nil {
				_ = level.Error(a.process.Logger).Log("msg", "configuration not stored", "err", err)
			}
		}
	}
	a.process.Recorder.Record(event.ConfigApplied, string(a.process.Identity.ID()), revisionText(a.state.Revision()))
	a.wakeReconciler()
}

func (a *Agent) wakeReconciler() {
	daemon.Wake(a.configChanged)
}

// labels returns the effective labels of this VM.
func (a *Agent) labels() vm.Labels {
	return a.state.View().LabelsOf(a.process.Identity.ID(), a.settings.Labels())
}

// reconcileInterval is the interval between reconciliations without a wake-up. It bounds
// the delay that a missed wake-up causes.
const reconcileInterval = time.Second

// reconcile starts and stops copiers to match the configuration, until the context
// ends.
func (a *Agent) reconcile(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	running := map[contract.Digest]context.CancelFunc{}
	for {
		a.reconcileOnce(ctx, running)
		select {
		case <-ctx.Done():
			return nil
		case <-a.configChanged:
		case <-ticker.C:
		}
	}
}

func (a *Agent) reconcileOnce(ctx context.Context, running map[contract.Digest]context.CancelFunc) {
	view := a.state.View()
	wanted := map[contract.Digest]configstate.Assignment{}
	for _, assignment := range view.Assignments(a.labels()) {
		if old, ok := wanted[assignment.Digest]; !ok || old.Role != contract.RoleServe {
			wanted[assignment.Digest] = assignment
		}
	}
	for digest, assignment := range wanted {
		a.copies.markWanted(assignment)
		if running[digest] == nil {
			copyContext, cancel := context.WithCancel(ctx)
			running[digest] = cancel
			go a.copyWithRetries(copyContext, assignment)
		}
	}
	for digest, cancel := range running {
		if _, ok := wanted[digest]; !ok {
			cancel()
			delete(running, digest)
			a.copies.markUnwanted(digest)
		}
	}
	a.loader.wake()
	a.evict(view, wanted)
}

// evict removes the copies that the configuration no longer names. A copy of a model
// that the configuration still names stays, even if it is assigned only to other VMs:
// other agents may fetch it from here, or it may be assigned to this VM again.
func (a *Agent) evict(view *configstate.View, wanted map[contract.Digest]configstate.Assignment) {
	if view.Revision() == 0 {
		return
	}
	for _, digest := range a.copies.evictable() {
		if _, known := view.ModelByDigest(digest); known {
			continue
		}
		a.removeCopy(digest)
	}
	a.removeUnopenedCopies(view, wanted)
}

// removeUnopenedCopies removes files of copies that the configuration doesn't name. Such
// copies arise only when the configuration changes, so the folder is read once for each
// revision and not in each reconciliation.
func (a *Agent) removeUnopenedCopies(view *configstate.View, wanted map[contract.Digest]configstate.Assignment) {
	if a.sweptRevision == view.Revision() {
		return
	}
	unopened, err := a.store.UnopenedCopies()
	if err != nil {
		return
	}
	a.sweptRevision = view.Revision()
	for _, digest := range unopened {
		_, inUse := wanted[digest]
		if _, known := view.ModelByDigest(digest); !known && !inUse {
			_ = a.store.RemoveUnopenedCopy(digest)
		}
	}
}

func (a *Agent) removeCopy(digest contract.Digest) {
	if err := a.store.Remove(digest); err != nil {
		_ = level.Error(a.process.Logger).Log("msg", "copy not removed", "digest", digest.Short(), "err", err)
		return
	}
	a.copies.remove(digest)
	a.process.Recorder.Record(event.CopyRemoved, digest.Short(), "no configuration names it")
}

// Revision returns the revision of the configuration that this agent has applied.
func (a *Agent) Revision() uint64 { return a.state.Revision() }
