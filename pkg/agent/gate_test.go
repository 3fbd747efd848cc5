package agent

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

func requestOf(attempt string, deadline time.Time) contract.Request {
	return contract.NewRequest(attempt, "larder", "menu", contract.Digest{}, "", "POST", "/", "", nil, deadline.UnixNano(), false, false, 0)
}

func TestGateRunsAnAttemptOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newGate(1)
	if err := g.admit(requestOf("a", now.Add(time.Second)), now); err != nil {
		t.Fatal(err)
	}
	if err := g.admit(requestOf("b", now.Add(time.Second)), now); !failure.Is(err, failure.Overloaded) {
		t.Errorf("over the limit: %v", err)
	}
	g.leave()
	err := g.admit(requestOf("a", now.Add(time.Second)), now)
	if !failure.Is(err, failure.DuplicateAttempt) || failure.Of(err).Ran() == failure.NotRun {
		t.Errorf("the attempt again: %v", err)
	}
	if err := g.admit(requestOf("c", now), now); !failure.Is(err, failure.DeadlineExceeded) {
		t.Errorf("past its deadline: %v", err)
	}
	g.close("test")
	if err := g.admit(requestOf("d", now.Add(time.Second)), now); !failure.Is(err, failure.Draining) {
		t.Errorf("while draining: %v", err)
	}
}
