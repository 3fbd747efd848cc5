package placement

import (
	"fmt"
	"os"
	"strings"
	"testing"
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
	const golden = "testdata/decisions.txt"
	if os.Getenv("TIDEPOST_UPDATE") != "" {
		if err := os.WriteFile(golden, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("the decisions are now\n%s", b.String())
	}
}
