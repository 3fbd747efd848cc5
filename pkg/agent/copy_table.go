// ================================================================
// The table of copies on this VM: for each its assignment, phase and progress, and the
// number of requests that use it.
//
// A copy is ready only while the engine reports its digest. A request pins the copy, so
// that it is not unloaded while the request runs.
// ================================================================

package agent

import (
	"fmt"
	"sort"
	"sync"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
)

// copyState is one copy in the table.
type copyState struct {
	assignment     configstate.Assignment
	wanted         bool
	phase          contract.CopyPhase
	verifiedChunks int
	totalChunks    int
	pins           int // requests in flight that use the copy
}

// copyTable is safe for concurrent use.
type copyTable struct {
	recorder *event.Recorder

	mu     sync.RWMutex
	copies map[contract.Digest]*copyState
}

func newCopyTable(r *event.Recorder) *copyTable {
	return &copyTable{recorder: r, copies: map[contract.Digest]*copyState{}}
}

// markWanted sets the assignment of a copy, and adds the copy if it is not in the table.
func (t *copyTable) markWanted(a configstate.Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.copies[a.Digest]
	if c == nil {
		c = &copyState{phase: contract.PhaseFetching, totalChunks: len(a.Manifest.Chunks())}
		t.copies[a.Digest] = c
		t.recorder.Record(event.CopyStarted, a.Digest.Short(), contract.ModelKey(a.Model, a.Version))
	}
	c.assignment, c.wanted = a, true
}

// markUnwanted marks a copy that the configuration no longer assigns to this VM.
func (t *copyTable) markUnwanted(d contract.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.copies[d]; c != nil {
		c.wanted = false
	}
}

// remove deletes a copy from the table.
func (t *copyTable) remove(d contract.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.copies, d)
}

// evictable returns the copies that are not wanted, not loaded and not in use.
func (t *copyTable) evictable() []contract.Digest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var digests []contract.Digest
	for d, c := range t.copies {
		loaded := c.phase == contract.PhaseLoading || c.phase == contract.PhaseReady
		if !c.wanted && !loaded && c.pins == 0 {
			digests = append(digests, d)
		}
	}
	return digests
}

// setVerifiedChunks records the number of verified chunks of a copy.
func (t *copyTable) setVerifiedChunks(d contract.Digest, chunks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.copies[d]; c != nil {
		c.verifiedChunks = chunks
	}
}

// setPhase moves a copy to a phase and reports whether the phase changed.
func (t *copyTable) setPhase(d contract.Digest, phase contract.CopyPhase) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.copies[d]
	if c == nil || c.phase == phase {
		return false
	}
	t.changePhase(c, phase)
	return true
}

// endLoad moves a copy that is loading to a phase. A copy that left the phase "loading" meanwhile,
// for instance because the engine was lost, keeps its phase.
func (t *copyTable) endLoad(d contract.Digest, phase contract.CopyPhase) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.copies[d]; c != nil && c.phase == contract.PhaseLoading {
		t.changePhase(c, phase)
	}
}

// changePhase needs the lock.
func (t *copyTable) changePhase(c *copyState, phase contract.CopyPhase) {
	t.recorder.Record(event.CopyPhaseChanged, c.assignment.Digest.Short(), fmt.Sprintf("%s -> %s", c.phase, phase))
	c.phase = phase
}

// markVerified records that a copy is complete on disk. A copy that is loading or ready
// keeps its phase: it was complete before and became wanted again.
func (t *copyTable) markVerified(d contract.Digest) {
	t.mu.Lock()
	c := t.copies[d]
	alreadyVerified := c == nil || c.phase == contract.PhaseLoading || c.phase == contract.PhaseReady
	t.mu.Unlock()
	if !alreadyVerified {
		t.setPhase(d, contract.PhaseVerified)
	}
}

// markFailed records that a copy could not be fetched. A copy that is loading or ready keeps
// its phase: the engine does not need the file any more.
func (t *copyTable) markFailed(d contract.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.copies[d]
	if c == nil || c.phase == contract.PhaseLoading || c.phase == contract.PhaseReady || c.phase == contract.PhaseFailed {
		return
	}
	t.changePhase(c, contract.PhaseFailed)
}

// pin keeps a ready copy loaded until unpin is called. It reports false if the copy is
// not ready.
func (t *copyTable) pin(d contract.Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.copies[d]
	if c == nil || c.phase != contract.PhaseReady {
		return false
	}
	c.pins++
	return true
}

func (t *copyTable) unpin(d contract.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.copies[d]; c != nil {
		c.pins--
	}
}

// retire takes a ready copy without pins out of service and reports whether it did. No
// request can pin the copy afterwards.
func (t *copyTable) retire(d contract.Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.copies[d]
	if c == nil || c.pins > 0 || c.phase != contract.PhaseReady {
		return false
	}
	c.phase = contract.PhaseVerified
	t.recorder.Record(event.CopyPhaseChanged, d.Short(), "ready -> verified: taken out of service")
	return true
}

// snapshot returns all copies, sorted by model and digest.
func (t *copyTable) snapshot() []copyState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	copies := make([]copyState, 0, len(t.copies))
	for _, c := range t.copies {
		copies = append(copies, *c)
	}
	sort.Slice(copies, func(i, j int) bool {
		a, b := copies[i].assignment, copies[j].assignment
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		return a.Digest.String() < b.Digest.String()
	})
	return copies
}

// report returns the copies in the form that heartbeats carry.
func (t *copyTable) report() []contract.Copy {
	var copies []contract.Copy
	for _, c := range t.snapshot() {
		copies = append(copies, contract.NewCopy(c.assignment.Model, c.assignment.Digest, c.phase, uint32(c.verifiedChunks), uint32(c.totalChunks)))
	}
	return copies
}
