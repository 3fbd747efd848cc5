package staging

import (
	"fmt"
	"slices"
	"testing"

	"github.com/tidepost/tidepost/pkg/vm"
)

// Forty stagers wait for one cache; most chunks are at some of them already.
func TestAskersAreSentToHoldersOfTheirFailureDomain(t *testing.T) {
	asker := vm.NewIdentity("s", 1, "", "a", "10.0.0.0:7")
	known, domains := map[string]bool{asker.Address(): true}, map[string]string{asker.Address(): "a"}
	for i := 1; i <= 20; i++ {
		address := fmt.Sprintf("10.0.0.%d:7", i)
		known[address], domains[address] = true, []string{"a", "b"}[i%2]
	}
	known["10.0.0.99:7"] = true // it has left
	seen := map[string]bool{}
	for range 200 {
		holders := holdersNear(asker, known, domains)
		if len(holders) != mostHolders {
			t.Fatalf("%d holders", len(holders))
		}
		for _, h := range holders {
			if domains[h] != "a" || h == asker.Address() {
				t.Fatalf("sent to %s of %q", h, domains[h])
			}
			seen[h] = true
		}
	}
	if len(seen) != 10 {
		t.Errorf("only %d of 10 holders are named", len(seen))
	}
}

// As long as an upload is free nobody is sent elsewhere.
func TestOnlyABusyMemberRedirects(t *testing.T) {
	m := &Member{uploads: make(chan struct{}, 1), copies: map[string][]*weightsCopy{}}
	c := newCopy(Manifest{model: "menu", version: 2, digests: make([]string, 4)})
	c.learn("10.0.0.1:7", []byte{0b1111})
	m.copies["menu"] = []*weightsCopy{c}
	q := question{model: "menu", version: 2, number: 1}
	if holders := m.redirect(q, vm.Identity{}); holders != nil || m.isBusy() {
		t.Fatalf("redirected to %v with an upload free", slices.Sorted(slices.Values(holders)))
	}
	m.uploads <- struct{}{}
	if !m.isBusy() {
		t.Fatal("no upload is free")
	}
}
