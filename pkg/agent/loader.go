// ================================================================
// The loader: the only giver of orders to this VM's engine, one at a time.
//
// Ready means that the engine itself has reported the digest after an order
// under the current fence. The engine is asked again and again; when it has
// been restarted, or reports something else, the copies go back to verified
// and are ordered anew.
//
// Not all engines check fences. For those the agent is the fence: before an
// order it writes a marker, and when it finds one after its own restart, or a
// data folder that is new, it waits out the longest order before the next one.
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
)

const (
	fenceFile = "fence"
	// markerDone and orderOpen are the two states of the marker.
	markerDone = "done"
	markerOpen = "open"
	// pollInterval is the time between questions to the engine.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// loader orders copies into the engine.
type loader struct {
	agent       *Agent
	wakeup      chan struct{}
	nextOrderAt time.Time
	fence       uint64

	mu          sync.Mutex
	state       engine.State
	reachable   bool
	failedPolls int
}

// newLoader reads the marker; fresh says that the data folder is new.
func newLoader(a *Agent, newFolder bool) *loader {
	l := &loader{agent: a, wakeup: make(chan struct{}, 1)}
	interrupted := newFolder
	if raw, err := a.folder.Read(fenceFile); err == nil {
		var marker string
		if _, err := fmt.Sscanf(string(raw), "%d %s", &l.fence, &marker); err != nil || marker == markerOpen {
			interrupted = true
		}
	}
	if interrupted && !a.settings.EngineFences() && !a.hooks.Faults.SkipOrderWait {
		l.nextOrderAt = time.Now().Add(a.settings.OrderLimit())
	}
	return l
}

func (l *loader) wake() {
	daemon.Wake(l.wakeup)
}

// run asks the engine and gives it orders until the context ends.
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

// poll asks the engine for its state and takes out of service what it does
// not report.
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

// maxFailedPolls is how many questions in a row an engine may leave unanswered.
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

func (l *loader) applyState(s engine.State) {
	l.mu.Lock()
	restarted := l.reachable && l.state.Instance != s.Instance
	l.state, l.reachable, l.failedPolls = s, true, 0
	l.mu.Unlock()
	if restarted {
		l.agent.process.Recorder.Record(event.EngineLost, string(l.agent.process.Identity.ID()), "it was restarted")
	}
	for _, c := range l.agent.copies.snapshot() {
		if c.phase == contract.PhaseReady && !s.Serves(c.assignment.Model, c.assignment.Digest) {
			l.agent.copies.setPhase(c.assignment.Digest, contract.PhaseVerified)
		}
	}
}

// lastState returns what the engine last reported; false when it is lost.
func (l *loader) lastState() (engine.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.reachable
}

// ----------------------------------------------------------------
// Orders

// sendNextOrder gives the one order that is most needed, if any.
func (l *loader) sendNextOrder(ctx context.Context) {
	if _, known := l.lastState(); !known || time.Now().Before(l.nextOrderAt) {
		return
	}
	copies := l.agent.copies.snapshot()
	for _, c := range copies {
		if c.wanted && c.assignment.Role == contract.RoleServe && c.phase == contract.PhaseVerified {
			l.load(ctx, c)
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

// superseded tells whether a loaded copy has to go: it is not wanted, or held
// only, and if the model is wanted in another version, that one is ready.
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

func (l *loader) load(ctx context.Context, c copyState) {
	held := l.agent.store.Find(c.assignment.Digest)
	if held == nil || !held.IsComplete() {
		return
	}
	l.agent.copies.setPhase(c.assignment.Digest, contract.PhaseLoading)
	s, err := l.sendOrder(ctx, engine.Order{
		Action:    engine.ActionLoad,
		Model:     c.assignment.Model,
		Digest:    c.assignment.Digest.String(),
		Path:      held.Path(),
		ChunkSize: c.assignment.Manifest.ChunkSize(),
	})
	if err != nil || !s.Serves(c.assignment.Model, c.assignment.Digest) {
		l.agent.copies.setPhase(c.assignment.Digest, contract.PhaseVerified)
		return
	}
	l.agent.copies.setPhase(c.assignment.Digest, contract.PhaseReady)
	l.wake()
}

func (l *loader) unload(ctx context.Context, c copyState) {
	_, _ = l.sendOrder(ctx, engine.Order{
		Action: engine.ActionUnload,
		Model:  c.assignment.Model,
		Digest: c.assignment.Digest.String(),
	})
	l.wake()
}

// sendOrder writes the marker, gives the order and writes that it is done. If the
// order's end is not known, the next one waits until it must be over.
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
		if failure.Of(err).Ran() != failure.NotRun && !l.agent.settings.EngineFences() {
			l.nextOrderAt = time.Now().Add(l.agent.settings.OrderLimit())
			return engine.State{}, err
		}
		return engine.State{}, l.writeDoneMarker(err)
	}
	l.applyState(s)
	return s, l.writeDoneMarker(nil)
}

// shortDigestLength is how much of a digest the time line shows.
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
