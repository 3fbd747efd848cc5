package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

func identityOf(name string) vm.Identity { return vm.NewIdentity("", 0, "", "hall-a", name) }

func TestChoosePair(t *testing.T) {
	near := candidate{"near", "hall-a", rankUntried}
	far := candidate{"far", "hall-b", rankHealthy}
	cases := []struct {
		name string
		all  []candidate
		want []string
	}{
		{"none", nil, nil},
		{"one", []candidate{far}, []string{"far"}},
		{"the own failure domain first", []candidate{far, near}, []string{"near", "far"}},
		{"one that failed is no primary", []candidate{far, {"near", "hall-a", rankFailed}}, []string{"far", "near"}},
		{"one that is alone stays the primary", []candidate{far, {"near", "hall-a", rankNoQuorum}}, []string{"near", "far"}},
		{"the backup hears of a leader", []candidate{near, {"alone", "hall-c", rankNoQuorum}, far}, []string{"near", "far"}},
		{"one that is heard stays the backup", []candidate{near, {"untried", "hall-c", rankUntried}, far}, []string{"near", "far"}},
		{"one that is untried before one that is alone", []candidate{near, {"untried", "hall-c", rankUntried}, {"alone", "hall-b", rankNoQuorum}}, []string{"near", "untried"}},
		{"the backup is of another failure domain", []candidate{near, {"near-2", "hall-a", rankHealthy}, far}, []string{"near-2", "far"}},
	}
	for _, c := range cases {
		if got := choosePair(identityOf("follower"), c.all); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The followers of a failure domain share out the other nodes as backups.
func TestBackupsAreSpread(t *testing.T) {
	all := []candidate{{"node-a", "hall-a", rankUntried}}
	for i := range 4 {
		all = append(all, candidate{fmt.Sprintf("node-%d", i), fmt.Sprintf("hall-%d", i), rankUntried})
	}
	count := map[string]int{}
	for i := range 400 {
		pair := choosePair(identityOf(fmt.Sprintf("10.0.0.%d:7700", i)), all)
		if pair[0] != "node-a" {
			t.Fatalf("primary %s", pair[0])
		}
		count[pair[1]]++
	}
	for node, n := range count {
		if n < 60 || n > 140 {
			t.Errorf("%s is the backup of %d of 400", node, n)
		}
	}
}

// A control node that has just come back counts few of the others: it takes the
// place of a primary that works only after a while, and of none at once.
func TestReconnectedNodeWaitsToBecomePrimary(t *testing.T) {
	now := time.Unix(100, 0)
	near := &followedNode{stream: &link.Stream{}, connectedAt: now}
	far := &followedNode{stream: &link.Stream{}, connectedAt: now.Add(-time.Minute)}
	f := &Follower{streams: map[string]*followedNode{"near": near, "far": far}, primary: far.stream}
	wanted := []string{"near", "far"}
	if words := f.choosePrimary(wanted, now.Add(primaryWarmup/2)); len(words) != 0 || f.primary != far.stream {
		t.Fatal("a node took the place of a primary that works before it had settled")
	}
	words := f.choosePrimary(wanted, now.Add(primaryWarmup))
	if f.primary != near.stream || words[near.stream].subscription != Primary || words[far.stream].subscription != Backup {
		t.Fatalf("words %v", words)
	}
	f.primary = nil
	far.stream = nil
	near.connectedAt = now
	if f.choosePrimary(wanted, now); f.primary != near.stream {
		t.Fatal("there is no primary although a node is heard")
	}
}
