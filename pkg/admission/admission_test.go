package admission

import (
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

var now = time.Unix(1000, 0)

func admit(t *testing.T, c *Controller, name string, weight uint32, n int) (admitted int, last error) {
	t.Helper()
	for range n {
		if _, err := c.Admit(Organisation{Name: name, Weight: weight}, now.Add(time.Minute), now); err != nil {
			last = err
		} else {
			admitted++
		}
	}
	return admitted, last
}

// A large organisation gets the whole limit while it is alone, and only its share beside
// a small one.
func TestLargeOrganisationLeavesRoomForASmallOne(t *testing.T) {
	c := NewController(100)
	alone, err := admit(t, c, "large", 9, 200)
	if alone != 100 || !failure.Is(err, failure.Overloaded) {
		t.Fatalf("alone, %d requests admitted, %v", alone, err)
	}
	c = NewController(100)
	if small, _ := admit(t, c, "small", 1, 1); small != 1 {
		t.Fatal("the first request of a small organisation was refused")
	}
	large, err := admit(t, c, "large", 9, 200)
	if large != 90 || !failure.Is(err, failure.ShareExceeded) {
		t.Errorf("large organisation beside a small one: %d requests admitted, %v", large, err)
	}
	if small, _ := admit(t, c, "small", 1, 20); small != 9 {
		t.Errorf("small organisation: %d more requests admitted of its share of 10", small)
	}
}

func TestRefusalsCarryRetryAfter(t *testing.T) {
	c := NewController(1)
	admit(t, c, "larder", 1, 1)
	_, err := c.Admit(Organisation{Name: "ladle", Weight: 1}, now.Add(time.Minute), now)
	if f := failure.Of(err); f.RetryAfter() < minRetryAfter || f.Ran() != failure.NotRun {
		t.Errorf("refusal %v, retry after %s", f, f.RetryAfter())
	}
	if _, err := c.Admit(Organisation{Name: "ladle", Weight: 1}, now, now); !failure.Is(err, failure.DeadlineExceeded) {
		t.Errorf("request past its deadline: %v", err)
	}
}

func TestReleaseTwiceFreesOneSlot(t *testing.T) {
	c := NewController(2)
	ticket, err := c.Admit(Organisation{Name: "larder", Weight: 1}, now.Add(time.Minute), now)
	if err != nil {
		t.Fatal(err)
	}
	admit(t, c, "larder", 1, 1)
	ticket.Release(now)
	ticket.Release(now)
	if n := c.InFlight(); n != 1 {
		t.Errorf("%d in flight", n)
	}
}
