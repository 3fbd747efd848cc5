package agent

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

func testRequest(attempt string, deadline time.Time) contract.Request {
	return contract.NewRequest(attempt, "larder", "menu", contract.Digest{}, "", "POST", "/", "", nil, deadline.UnixNano(), false, false, 0)
}

func TestAdmissionRunsAnAttemptOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newAdmission(1)
	if err := g.admit(testRequest("a", now.Add(time.Second)), now); err != nil {
		t.Fatal(err)
	}
	if err := g.admit(testRequest("b", now.Add(time.Second)), now); !failure.Is(err, failure.Overloaded) {
		t.Errorf("over the limit: %v", err)
	}
	g.release()
	err := g.admit(testRequest("a", now.Add(time.Second)), now)
	if !failure.Is(err, failure.DuplicateAttempt) || failure.Of(err).Ran() == failure.NotRun {
		t.Errorf("the attempt again: %v", err)
	}
	if err := g.admit(testRequest("c", now), now); !failure.Is(err, failure.DeadlineExceeded) {
		t.Errorf("past its deadline: %v", err)
	}
	g.close("test")
	if err := g.admit(testRequest("d", now.Add(time.Second)), now); !failure.Is(err, failure.Draining) {
		t.Errorf("while draining: %v", err)
	}
}
