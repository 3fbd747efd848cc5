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

// Each reason to refuse a request has its own kind of failure. A repeated attempt is
// refused also after the first has ended, and not as "not run".
func TestAdmissionRunsAnAttemptOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAdmission(1)
	if err := a.admit(testRequest("a", now.Add(time.Second)), now); err != nil {
		t.Fatal(err)
	}
	if err := a.admit(testRequest("b", now.Add(time.Second)), now); !failure.Is(err, failure.Overloaded) {
		t.Errorf("over the limit: %v", err)
	}
	a.release()
	err := a.admit(testRequest("a", now.Add(time.Second)), now)
	if !failure.Is(err, failure.DuplicateAttempt) || failure.Of(err).Ran() == failure.NotRun {
		t.Errorf("repeated attempt: %v", err)
	}
	if err := a.admit(testRequest("c", now), now); !failure.Is(err, failure.DeadlineExceeded) {
		t.Errorf("past its deadline: %v", err)
	}
	a.close("test")
	if err := a.admit(testRequest("d", now.Add(time.Second)), now); !failure.Is(err, failure.Draining) {
		t.Errorf("while draining: %v", err)
	}
}
