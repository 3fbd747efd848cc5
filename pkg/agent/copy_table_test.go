package agent

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
)

// A copy that stops being wanted and is wanted again while it is loaded must stay ready:
// verifying it a second time must not move it back to the phase "verified".
func TestCopyWantedAgainStaysReady(t *testing.T) {
	table := newCopyTable(event.NewRecorder("agent", event.NewClock(time.Now), 16))
	manifest := contract.ManifestOf([]byte("weights"), 4)
	a := configstate.Assignment{Model: "menu", Digest: manifest.Digest(), Manifest: manifest, Role: contract.RoleServe}
	table.markWanted(a)
	table.markVerified(a.Digest)
	table.setPhase(a.Digest, contract.PhaseReady)
	table.markUnwanted(a.Digest)
	table.markWanted(a)
	table.markVerified(a.Digest)
	if !table.pin(a.Digest) {
		t.Error("a ready copy is not ready any more after it was wanted again")
	}
	if table.retire(a.Digest) {
		t.Error("a copy in use was retired")
	}
	table.unpin(a.Digest)
	if !table.retire(a.Digest) || table.pin(a.Digest) {
		t.Error("an unused copy was not retired, or a retired copy can be pinned")
	}
}

// A load that ends after the engine was lost must not make the copy ready: the engine may have
// unloaded it meanwhile.
func TestLoadDoesNotEndAfterTheEngineIsLost(t *testing.T) {
	table := newCopyTable(event.NewRecorder("agent", event.NewClock(time.Now), 16))
	manifest := contract.ManifestOf([]byte("weights"), 4)
	a := configstate.Assignment{Model: "menu", Digest: manifest.Digest(), Manifest: manifest, Role: contract.RoleServe}
	table.markWanted(a)
	table.setPhase(a.Digest, contract.PhaseLoading)
	table.setPhase(a.Digest, contract.PhaseVerified)
	table.endLoad(a.Digest, contract.PhaseReady)
	if table.pin(a.Digest) {
		t.Error("a copy whose engine was lost during the load is ready")
	}
	table.setPhase(a.Digest, contract.PhaseLoading)
	table.endLoad(a.Digest, contract.PhaseReady)
	if !table.pin(a.Digest) {
		t.Error("a loaded copy is not ready")
	}
}

// A ready copy whose file is damaged or cannot be opened must stay in service: the engine has loaded it.
func TestFailedFetchKeepsReadyCopy(t *testing.T) {
	table := newCopyTable(event.NewRecorder("agent", event.NewClock(time.Now), 16))
	manifest := contract.ManifestOf([]byte("weights"), 4)
	a := configstate.Assignment{Model: "menu", Digest: manifest.Digest(), Manifest: manifest, Role: contract.RoleServe}
	table.markWanted(a)
	table.markFailed(a.Digest)
	if phase := table.snapshot()[0].phase; phase != contract.PhaseFailed {
		t.Errorf("a copy that could not be fetched is %s", phase)
	}
	table.setPhase(a.Digest, contract.PhaseReady)
	table.markFailed(a.Digest)
	if !table.pin(a.Digest) {
		t.Error("a ready copy was taken out of service")
	}
}
