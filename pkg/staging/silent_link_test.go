package staging

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/internal/silenced"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Guards against this failure: copies were late after all connections had gone silent while new
// ones worked. A query waited for its whole timeout on the silent link, and then the member counted
// as unavailable for even longer, although only the link had failed. No ping detects the silent
// link here, so the chunk arrives only if the query is retried over a new link.
func TestFetchRetriesOverReplacementLink(t *testing.T) {
	data := []byte("a chunk")
	_, holder := startEndpoint(t, func(chunkQuery) chunkReply { return chunkReply{data: data} })
	var links silenced.Conns
	own := link.NewEndpoint(link.Config{
		Self: vm.NewIdentity("s", 1, "", "a", "s:1"), Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		PingInterval: time.Hour, PingTimeout: time.Hour,
		Dial: links.Dial,
	})
	t.Cleanup(own.Close)
	m := &Member{
		process: &daemon.Process{
			Endpoint: own, Logger: log.NewNopLogger(), Identity: vm.NewIdentity("s", 1, "", "a", "s:1"),
		},
		follower: &feed.Follower{}, registry: registry.NewTable(nil), peerFailures: newPeerFailures(),
		metrics: newMetrics(prometheus.NewRegistry()), fetches: map[fetchKey]bool{},
	}
	c := newCopy(Manifest{model: "menu", version: 2, digests: []string{digestOf(data), digestOf(data)}})
	if answered := m.fetch(t.Context(), c, holder, 0); !answered || c.get(0) == nil {
		t.Fatal("the member did not answer")
	}
	links.Silence()
	if answered := m.fetch(t.Context(), c, holder, 1); !answered || c.get(1) == nil {
		t.Error("the chunk was not fetched over another link")
	}
	if m.peerFailures.isUnavailable(holder) {
		t.Error("a healthy member is unavailable")
	}
}
