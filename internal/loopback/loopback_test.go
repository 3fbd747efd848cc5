package loopback

import "testing"

// What was seen: in a run of all tests, a node of a cluster never came up. Two of its
// addresses were alike, or a test beside it had taken one: both were only free when asked
// for.
func TestAddressesAreGivenOnce(t *testing.T) {
	const many = 3000
	given := map[string]bool{}
	for range many {
		a := FreeAddress(t)
		if given[a] {
			t.Fatalf("%s is given twice in %d", a, len(given)+1)
		}
		given[a] = true
	}
}
