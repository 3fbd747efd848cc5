package loopback

import "testing"

// FreeAddress once returned addresses that were only free at the time of the call: a cluster node
// could not start, because two of its addresses were the same or another test had taken one.
func TestAddressesAreUnique(t *testing.T) {
	const count = 3000
	returned := map[string]bool{}
	for range count {
		a := FreeAddress(t)
		if returned[a] {
			t.Fatalf("%s is returned twice in %d calls", a, len(returned)+1)
		}
		returned[a] = true
	}
}
