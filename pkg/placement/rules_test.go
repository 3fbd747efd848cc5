package placement

import (
	"fmt"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/internal/golden"
)

// TestDecisions compares the verdict of each combination of route, organisation, evacuated failure domain
// and VM with a golden file.
func TestDecisions(t *testing.T) {
	regions := map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
	lists := [][]string{nil, {"north"}, {"south", "south"}, {"north", "south"}, {"elsewhere"}}
	var b strings.Builder
	for _, route := range lists {
		for _, organisation := range lists {
			for _, evacuated := range []string{"", "north-a"} {
				r := Rules{Regions: func() map[string]string { return regions }, Evacuations: &Evacuations{}}
				r.Evacuations.Apply(NewChange(evacuated, true, 0))
				_, _ = fmt.Fprintf(&b, "route %v, organisation %v, evacuated %q\n", route, organisation, evacuated)
				for _, domain := range []string{"north-a", "north-b", "south-a", "unknown"} {
					_, _ = fmt.Fprintf(&b, "  %-8s %s\n", domain, r.Decide(NewConstraint(route, organisation), domain))
				}
			}
		}
	}
	golden.Check(t, "testdata/decisions.txt", b.String())
}
