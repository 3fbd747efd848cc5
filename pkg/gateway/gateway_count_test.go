package gateway

import (
	"testing"
	"time"
)

// A control node that has just started reports few gateways. The share of the retry budget must
// not grow because of its report.
func TestGatewayCountFallsAfterWindow(t *testing.T) {
	const window = 10 * time.Second
	start := time.Now()
	var f gatewayCounter
	for _, step := range []struct {
		after          time.Duration
		reported, want int
	}{
		{0, 0, 0}, {time.Second, 149, 149}, {2 * time.Second, 3, 149}, {11 * time.Second, 3, 149},
		{12 * time.Second, 140, 140}, {13 * time.Second, 149, 149},
	} {
		if got := f.update(step.reported, start.Add(step.after), window); got != step.want {
			t.Fatalf("after %s, %d reported: %d gateways, not %d", step.after, step.reported, got, step.want)
		}
	}
}
