package agent

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/event"
)

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
		t.Error("a copy that is loaded went out of service when it was wanted again")
	}
	if table.retire(a.Digest) {
		t.Error("a copy in use was retired")
	}
	table.unpin(a.Digest)
	if !table.retire(a.Digest) || table.pin(a.Digest) {
		t.Error("a retired copy takes requests")
	}
}
