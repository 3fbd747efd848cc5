// ================================================================
// The loader sends orders to this VM's engine, one at a time. No other code does.
//
// A copy is ready when the engine has reported its digest after an order with the
// current fencing token. The loader polls the engine. When the engine no longer reports
// a digest, for instance after a restart, the copy returns to the phase "verified" and
// is loaded again.
//
// An engine loads a file without checking it, and a disk may damage the file at any time.
// So a copy is verified before the order, and again after the engine has loaded it. Only
// the copier writes to the file, and only chunks that are missing, so what is valid after
// the load was valid when the engine read it, however long the order took. A copy that
// fails is unloaded, and its corrupt chunks are fetched again. If chunks were written since
// a load, the copy is unloaded before it is loaded again: an engine may ignore an order to
// load what it has loaded.
//
// Not all engines check fencing tokens. For those the loader writes a marker to disk
// before an order. When it finds the marker open after its own restart, or the data
// folder is new, an order may still be executing, so it waits for the time limit of
// orders before the next one.
// ================================================================

package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/weights"
)

const (
	fenceFile = "fence"
	// markerDone and markerOpen are the two states of the marker.
	markerDone = "done"
	markerOpen = "open"
	// pollInterval is the interval between polls of the engine.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second // of one poll
	// maxVerificationAge is the greatest age of the verification before an order. Orders
	// that fail are repeated without reading the whole file each time.
	maxVerificationAge = 10 * time.Second
)

// loader has the engine load and unload copies.
type loader struct {
	agent       *Agent
	wakeup      chan struct{}
	nextOrderAt time.Time // no order is sent before this time
	fence       uint64

	mu          sync.Mutex
	state       engine.State
	reachable   bool
	failedPolls int
}

// newLoader reads the marker. newFolder is set if the data folder is new and so has no marker.
func newLoader(a *Agent, newFolder bool) *loader {
	l := &loader{agent: a, wakeup: make(chan struct{}, 1)}
	interrupted := newFolder
	if raw, err := a.folder.Read(fenceFile); err == nil {
		var marker string
		if _, err := fmt.Sscanf(string(raw), "%d %s", &l.fence, &marker); err != nil || marker == markerOpen {
			interrupted = true
		}
	}
	if interrupted && !a.settings.EngineChecksFences() && !a.hooks.Faults.SkipOrderWait {
		l.nextOrderAt = time.Now().Add(a.settings.OrderLimit())
	}
	return l
}

func (l *loader) wake() {
	daemon.Wake(l.wakeup)
}

// run polls the engine and sends it orders until the context ends.
func (l *loader) run(ctx context.Context) error {
	if l.agent.engine == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		l.poll(ctx)
		l.sendNextOrder(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-l.wakeup:
		case <-ticker.C:
		}
	}
}

// poll queries the state of the engine and takes copies out of service that it doesn't
// report.
func (l *loader) poll(ctx context.Context) {
	pollContext, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	s, err := l.agent.engine.ReadState(pollContext)
	if err != nil {
		l.handlePollFailure(err)
		return
	}
	l.applyState(s)
}

// maxFailedPolls is the number of consecutive failed polls at which the engine counts as
// lost.
const maxFailedPolls = 2

func (l *loader) handlePollFailure(err error) {
	l.mu.Lock()
	l.failedPolls++
	lost := l.failedPolls == maxFailedPolls
	if lost {
		l.reachable = false
	}
	l.mu.Unlock()
	if !lost {
		return
	}
	l.agent.process.Recorder.Record(event.EngineLost, string(l.agent.process.Identity.ID()), err.Error())
	for _, c := range l.agent.copies.snapshot() {
		if c.phase == contract.PhaseReady || c.phase == contract.PhaseLoading {
			l.agent.copies.setPhase(c.assignment.Digest, contract.PhaseVerified)
		}
	}
}

// applyState records a state that the engine reported, and takes copies out of service
// that it doesn't contain.
func (l *loader) applyState(s engine.State) {
	l.mu.Lock()
	restarted := l.reachable && l.state.Instance != s.Instance
	l.state, l.reachable, l.failedPolls = s, true, 0
	l.mu.Unlock()
	if restarted {
		l.agent.process.Recorder.Record(event.EngineLost, string(l.agent.process.Identity.ID()), "the engine restarted")
	}
	for _, c := range l.agent.copies.snapshot() {
		if c.phase == contract.PhaseReady && !s.Serves(c.assignment.Model, c.assignment.Digest) {
			l.agent.copies.setPhase(c.assignment.Digest, contract.PhaseVerified)
		}
	}
}

// lastState returns the last state that the engine reported, and whether the engine is
// reachable.
func (l *loader) lastState() (engine.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.reachable
}

// ----------------------------------------------------------------
// Orders

// sendNextOrder sends at most one order. Loading a wanted copy goes before unloading a
// superseded one.
func (l *loader) sendNextOrder(ctx context.Context) {
	if _, reachable := l.lastState(); !reachable || time.Now().Before(l.nextOrderAt) {
		return
	}
	copies := l.agent.copies.snapshot()
	for _, c := range copies {
		if held := l.loadable(c); held != nil {
			l.load(ctx, c, held)
			return
		}
	}
	for _, c := range copies {
		if c.phase == contract.PhaseReady && l.superseded(c, copies) && l.agent.copies.retire(c.assignment.Digest) {
			l.unload(ctx, c)
			return
		}
	}
}

// loadable returns the complete copy on disk if the engine should load it now; otherwise
// nil. A copy that is being repaired is not complete.
func (l *loader) loadable(c copyState) *weights.Copy {
	if !c.wanted || c.assignment.Role != contract.RoleServe || c.phase != contract.PhaseVerified {
		return nil
	}
	held := l.agent.store.Find(c.assignment.Digest)
	if held == nil || !held.IsComplete() {
		return nil
	}
	return held
}

// superseded reports whether a loaded copy should be unloaded: this VM should not serve
// it, and any other version of the model that it should serve is ready.
func (l *loader) superseded(c copyState, copies []copyState) bool {
	if c.wanted && c.assignment.Role == contract.RoleServe {
		return false
	}
	for _, other := range copies {
		successor := other.wanted && other.assignment.Role == contract.RoleServe &&
			other.assignment.Model == c.assignment.Model && other.assignment.Digest != c.assignment.Digest
		if successor && other.phase != contract.PhaseReady {
			return false
		}
	}
	return true
}

// load verifies a copy and orders the engine to load it. A verification that is too old is
// renewed, and the order follows in the next round, with the state of that time.
func (l *loader) load(ctx context.Context, c copyState, held *weights.Copy) {
	if held.Modified() && l.isLoaded(c) {
		l.unloadUnused(ctx, c)
		return
	}
	if time.Since(held.VerifiedAt()) > maxVerificationAge {
		if l.verify(ctx, c, held, "before the order") {
			l.wake()
		}
		return
	}
	l.loadVerified(ctx, c, held)
}

// loadVerified orders the engine to load a copy, and verifies the copy again after that.
func (l *loader) loadVerified(ctx context.Context, c copyState, held *weights.Copy) {
	digest := c.assignment.Digest
	verifiedAt, orderedAt := held.VerifiedAt(), time.Now()
	held.ClearModified()
	l.agent.copies.setPhase(digest, contract.PhaseLoading)
	s, err := l.sendOrder(ctx, engine.Order{
		Action:    engine.ActionLoad,
		Model:     c.assignment.Model,
		Digest:    digest.String(),
		Path:      held.Path(),
		ChunkSize: c.assignment.Manifest.ChunkSize(),
	})
	if err != nil || !s.Serves(c.assignment.Model, digest) {
		l.agent.copies.endLoad(digest, contract.PhaseVerified)
		return
	}
	loadedAt := time.Now()
	if !l.verify(ctx, c, held, "after the order") {
		l.agent.copies.endLoad(digest, contract.PhaseVerified)
		l.unloadUnused(ctx, c)
		return
	}
	_ = level.Info(l.agent.process.Logger).Log("msg", "copy loaded", "model", c.assignment.Model, "digest", digest.Short(),
		"age_ms", orderedAt.Sub(verifiedAt).Milliseconds(), "order_ms", loadedAt.Sub(orderedAt).Milliseconds(),
		"verify_ms", time.Since(loadedAt).Milliseconds())
	phase := contract.PhaseReady
	if !l.isLoaded(c) {
		phase = contract.PhaseVerified
	}
	l.agent.copies.endLoad(digest, phase)
	l.wake()
}

// isLoaded reports whether the engine serves a copy by its last state.
func (l *loader) isLoaded(c copyState) bool {
	state, _ := l.lastState()
	return state.Serves(c.assignment.Model, c.assignment.Digest)
}

// verify reads a complete copy from disk and reports whether it is valid. The copier
// fetches what is corrupt. Reading a large copy takes long, so the engine is polled
// meanwhile.
func (l *loader) verify(ctx context.Context, c copyState, held *weights.Copy, when string) bool {
	result := make(chan error, 1)
	go func() { result <- held.Verify(ctx) }()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-result:
			return l.handleVerification(ctx, c, err, when)
		case <-ticker.C:
			l.poll(ctx)
		}
	}
}

// handleVerification reports a copy that is not valid, unless the process is stopping.
func (l *loader) handleVerification(ctx context.Context, c copyState, err error, when string) bool {
	if err == nil || ctx.Err() != nil {
		return err == nil
	}
	digest := c.assignment.Digest.Short()
	_ = level.Warn(l.agent.process.Logger).Log("msg", "copy not valid on disk", "model", c.assignment.Model, "digest", digest, "when", when, "err", err)
	l.agent.process.Recorder.Record(event.ChunkRefused, digest, "disk: "+err.Error())
	return false
}

// unloadUnused unloads a copy that is not ready, unless requests still run on an earlier
// load of it or the process is stopping.
func (l *loader) unloadUnused(ctx context.Context, c copyState) {
	if c.pins == 0 && ctx.Err() == nil {
		l.unload(ctx, c)
	}
}

func (l *loader) unload(ctx context.Context, c copyState) {
	_, _ = l.sendOrder(ctx, engine.Order{
		Action: engine.ActionUnload,
		Model:  c.assignment.Model,
		Digest: c.assignment.Digest.String(),
	})
	l.wake()
}

// sendOrder marks an order as open, sends it and marks it as done. If the outcome is
// unknown and the engine doesn't check fencing tokens, the next order waits for the time
// limit of orders, when this one must have ended.
func (l *loader) sendOrder(ctx context.Context, o engine.Order) (engine.State, error) {
	state, _ := l.lastState()
	l.fence = max(l.fence, state.Fence) + 1
	o.Fence = l.fence
	if err := l.writeMarker(markerOpen); err != nil {
		return engine.State{}, err
	}
	orderContext, cancel := context.WithTimeout(ctx, l.agent.settings.OrderLimit())
	defer cancel()
	l.agent.process.Recorder.Record(event.OrderGiven, o.Digest[:min(len(o.Digest), shortDigestLength)],
		fmt.Sprintf("%s %s, fence %d", o.Action, o.Model, o.Fence))
	s, err := l.agent.engine.SendOrder(orderContext, o)
	if err != nil {
		_ = level.Warn(l.agent.process.Logger).Log("msg", "order failed", "action", o.Action, "model", o.Model, "err", err)
		if failure.Of(err).Ran() != failure.NotRun && !l.agent.settings.EngineChecksFences() {
			l.nextOrderAt = time.Now().Add(l.agent.settings.OrderLimit())
			return engine.State{}, err
		}
		return engine.State{}, l.writeDoneMarker(err)
	}
	l.applyState(s)
	return s, l.writeDoneMarker(nil)
}

// shortDigestLength is the number of characters of a digest in timeline events.
const shortDigestLength = 12

func (l *loader) writeMarker(marker string) error {
	return l.agent.folder.Replace(fenceFile, []byte(fmt.Sprintf("%d %s\n", l.fence, marker)))
}

func (l *loader) writeDoneMarker(err error) error {
	if markErr := l.writeMarker(markerDone); err == nil {
		return markErr
	}
	return err
}
