// ================================================================
// Tests of the table of claims.
// ================================================================

package claim

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

const deadline = int64(1e12)

func newTestClaim(attempt, body string) contract.Claim {
	return contract.NewClaim("larder", "order-1", attempt, contract.DigestOf([]byte(body)), deadline)
}

func acquireState(t *testing.T, table *Table, attempt string, at int64) contract.ClaimState {
	t.Helper()
	r := table.Acquire(newTestClaim(attempt, "flour"), at)
	if r.Refusal() != nil {
		t.Fatalf("attempt %s: %v", attempt, r.Refusal())
	}
	return r.State()
}

func TestFirstClaimWins(t *testing.T) {
	table := NewTable()
	if s := acquireState(t, table, "a", 1); s != contract.ClaimGranted {
		t.Fatalf("first: %d", s)
	}
	if s := acquireState(t, table, "a", 2); s != contract.ClaimGranted {
		t.Errorf("the same attempt again: %d", s)
	}
	if s := acquireState(t, table, "b", 3); s != contract.ClaimRunning {
		t.Errorf("another attempt: %d", s)
	}
	if r := table.Acquire(newTestClaim("c", "sugar"), 4); r.Refusal() == nil || r.Refusal().Kind() != failure.KeyReused {
		t.Errorf("another body: %+v", r)
	}
}

// The request of a lost holder may have run, so its key must not be granted again.
func TestClaimOfLostHolderIsNotReleased(t *testing.T) {
	table := NewTable()
	acquireState(t, table, "a", 1)
	r := table.Acquire(newTestClaim("b", "flour"), deadline+1)
	if r.State() != contract.ClaimDone || r.Outcome().Known() {
		t.Errorf("after the deadline of a lost holder: %+v", r)
	}
}

func TestSettledClaimKeepsItsOutcomeAfterRestore(t *testing.T) {
	table := NewTable()
	acquireState(t, table, "a", 1)
	outcome := contract.NewOutcome(200, "text/plain", []byte("done"), false, true)
	if table.Settle(contract.NewClaimSettlement("larder", "order-1", "b", true, outcome), 2) {
		t.Error("an attempt settled a claim that it does not hold")
	}
	if !table.Settle(contract.NewClaimSettlement("larder", "order-1", "a", true, outcome), 2) {
		t.Fatal("the holder could not settle its claim")
	}
	raw, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewTable()
	if err := restored.Restore(raw); err != nil {
		t.Fatal(err)
	}
	r := restored.Acquire(newTestClaim("c", "flour"), 3)
	if r.State() != contract.ClaimDone || string(r.Outcome().Body()) != "done" {
		t.Errorf("after the restore: %+v", r)
	}
}

func TestClaimSettledAsNotRunIsReleased(t *testing.T) {
	table := NewTable()
	acquireState(t, table, "a", 1)
	table.Settle(contract.NewClaimSettlement("larder", "order-1", "a", false, contract.Outcome{}), 2)
	if s := acquireState(t, table, "b", 3); s != contract.ClaimGranted {
		t.Errorf("after the claim was released: %d", s)
	}
}

func TestClaimsExpireAfterRetention(t *testing.T) {
	table := NewTable()
	acquireState(t, table, "a", 1)
	table.Acquire(contract.NewClaim("larder", "order-1", "b", contract.DigestOf([]byte("flour")), 1<<62), deadline+Retention)
	if table.Len() != 1 {
		t.Errorf("%d claims", table.Len())
	}
	if s := acquireState(t, table, "b", deadline+Retention); s != contract.ClaimGranted {
		t.Errorf("after the retention: %d", s)
	}
}
