package staging

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/vm"
)

// A redirect names maxHolders members of the requester's failure domain, and over many redirects
// all of them.
func TestRedirectNamesHoldersInTheFailureDomain(t *testing.T) {
	requester := vm.NewIdentity("s", 1, "", "a", "10.0.0.0:7")
	known, domains := map[string]bool{requester.Address(): true}, map[string]string{requester.Address(): "a"}
	for i := 1; i <= 20; i++ {
		address := fmt.Sprintf("10.0.0.%d:7", i)
		known[address], domains[address] = true, []string{"a", "b"}[i%2]
	}
	known["10.0.0.99:7"] = true // it has left
	seen := map[string]bool{}
	for range 200 {
		holders := holdersNear(requester, known, domains)
		if len(holders) != maxHolders {
			t.Fatalf("%d holders", len(holders))
		}
		for _, h := range holders {
			if domains[h] != "a" || h == requester.Address() {
				t.Fatalf("redirected to %s in domain %q", h, domains[h])
			}
			seen[h] = true
		}
	}
	if len(seen) != 10 {
		t.Errorf("%d of 10 holders are named", len(seen))
	}
}

// A member redirects no requester while it has a free upload.
func TestRedirectOnlyWithoutFreeUpload(t *testing.T) {
	m := &Member{uploads: make(chan struct{}, 1), copies: map[string][]*weightsCopy{}}
	c := newCopy(Manifest{model: "menu", version: 2, digests: make([]string, 4)})
	c.addHoldings("10.0.0.1:7", []byte{0b1111})
	m.copies["menu"] = []*weightsCopy{c}
	q := chunkQuery{model: "menu", version: 2, number: 1}
	if holders := m.redirectTargets(q, vm.Identity{}); holders != nil || m.areUploadsFull() {
		t.Fatalf("redirected to %v with an upload free", slices.Sorted(slices.Values(holders)))
	}
	m.uploads <- struct{}{}
	if !m.areUploadsFull() {
		t.Fatal("areUploadsFull is false without a free upload")
	}
}

// startEndpoint starts an endpoint that answers queries, and returns it with its address.
func startEndpoint(t *testing.T, answer func(chunkQuery) chunkReply) (*link.Endpoint, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	e := link.NewEndpoint(link.Config{
		Self: vm.NewIdentity(vm.ID(address), 1, "", "a", address), Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
	})
	e.Handle(link.KindStagerChunk, func(_ context.Context, s *link.Stream) error {
		var q chunkQuery
		if err := s.Receive(&q); err != nil {
			return err
		}
		return s.Send(answer(q))
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		e.Close()
	})
	go func() { _ = e.Serve(ctx, l) }()
	return e, address
}

// A redirected member requests the chunk from the named holder, without fetchIfMissing.
func TestFetchFollowsRedirect(t *testing.T) {
	data := []byte("a chunk")
	_, holder := startEndpoint(t, func(q chunkQuery) chunkReply {
		if q.fetchIfMissing {
			return chunkReply{}
		}
		return chunkReply{data: data}
	})
	_, busy := startEndpoint(t, func(chunkQuery) chunkReply { return chunkReply{holders: []string{holder}} })
	own, address := startEndpoint(t, func(chunkQuery) chunkReply { return chunkReply{} })
	m := &Member{
		process: &daemon.Process{
			Endpoint: own, Logger: log.NewNopLogger(), Identity: vm.NewIdentity("s", 1, "", "a", address),
		},
		follower: &feed.Follower{}, registry: registry.NewTable(nil), peerFailures: newPeerFailures(),
		metrics: newMetrics(prometheus.NewRegistry()), fetches: map[fetchKey]bool{},
	}
	c := newCopy(Manifest{model: "menu", version: 2, digests: []string{digestOf(data)}})
	if answered := m.fetch(t.Context(), c, busy, 0); !answered {
		t.Fatal("the busy member did not answer")
	}
	if string(c.get(0)) != string(data) {
		t.Fatal("the chunk was not fetched from the holder")
	}
}
