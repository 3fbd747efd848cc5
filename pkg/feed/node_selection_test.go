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
		{"the primary is of the own failure domain", []candidate{far, near}, []string{"near", "far"}},
		{"a failed node is no primary", []candidate{far, {"near", "hall-a", rankFailed}}, []string{"far", "near"}},
		{"a primary without contact with the leader stays", []candidate{far, {"near", "hall-a", rankNoQuorum}}, []string{"near", "far"}},
		{"the backup is in contact with the leader", []candidate{near, {"alone", "hall-c", rankNoQuorum}, far}, []string{"near", "far"}},
		{"a connected backup stays", []candidate{near, {"untried", "hall-c", rankUntried}, far}, []string{"near", "far"}},
		{"an untried node precedes one without contact with the leader", []candidate{near, {"untried", "hall-c", rankUntried}, {"alone", "hall-b", rankNoQuorum}}, []string{"near", "untried"}},
		{"the backup is of another failure domain", []candidate{near, {"near-2", "hall-a", rankHealthy}, far}, []string{"near-2", "far"}},
	}
	for _, c := range cases {
		if got := choosePair(identityOf("follower"), c.all); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The followers of a failure domain spread their backups over the other nodes.
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

// A control node that has just reconnected counts few gateways. It replaces a working primary only
// after primaryWarmup, but becomes the primary at once if there is none.
func TestReconnectedNodeWaitsToBecomePrimary(t *testing.T) {
	now := time.Unix(100, 0)
	near := &followedNode{stream: &link.Stream{}, connectedAt: now}
	far := &followedNode{stream: &link.Stream{}, connectedAt: now.Add(-time.Minute)}
	f := &Follower{streams: map[string]*followedNode{"near": near, "far": far}, primary: far.stream}
	wanted := []string{"near", "far"}
	if messages := f.choosePrimary(wanted, now.Add(primaryWarmup/2)); len(messages) != 0 || f.primary != far.stream {
		t.Fatal("a node replaced a working primary before primaryWarmup was over")
	}
	messages := f.choosePrimary(wanted, now.Add(primaryWarmup))
	if f.primary != near.stream || messages[near.stream].subscription != Primary || messages[far.stream].subscription != Backup {
		t.Fatalf("messages %v", messages)
	}
	f.primary = nil
	far.stream = nil
	near.connectedAt = now
	if f.choosePrimary(wanted, now); f.primary != near.stream {
		t.Fatal("there is no primary although a node is connected")
	}
}
