package feed

import (
	"context"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

// lossyConn loses what it carries once it is silenced, both ways and without an error.
type lossyConn struct {
	net.Conn
	silenced *atomic.Bool
}

func (c lossyConn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}

// What was seen: when all open connections went silent while new ones worked, gateways
// heard no loads for seconds, and all of them then chose other control nodes.
// How it came about: a follower waited for two beats and a half and took its node for
// lost. What caused it: nothing told a silent link from a node that is gone, so the wait
// had to cover the slowest node. What proved it: a follower that looks at its link after
// one beat hears its node again, its primary as before, and counts it lost at no time;
// and the node counts that follower once.
func TestFollowerHearsItsNodeAgainOverAnotherLink(t *testing.T) {
	h := &herd{t: t, loads: map[string]int{}}
	node := h.startNode("hall-0")
	var mu sync.Mutex
	var open []*atomic.Bool
	identity := vm.NewIdentity("gateway", 1, "", "hall-0", "gateway:7700")
	e := link.NewEndpoint(link.Config{
		Own: identity, Clock: event.NewClock(time.Now), Logger: log.NewNopLogger(),
		KeepAlive: time.Hour, Unanswered: time.Hour,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			silenced := &atomic.Bool{}
			mu.Lock()
			open = append(open, silenced)
			mu.Unlock()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return lossyConn{conn, silenced}, err
		},
	})
	t.Cleanup(e.Close)
	var updates atomic.Int64
	f := &Follower{
		Endpoint: e, Hello: NewHello(RoleGateway, identity, "", ""), Seeds: h.nodes,
		Held: func() uint64 { return math.MaxUint64 }, Take: func(string, Update) { updates.Add(1) }, Logger: log.NewNopLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.Run(ctx) }()
	h.eventually("the node is the primary", func() bool { return f.Gateways() == 1 })
	mu.Lock()
	for _, silenced := range open {
		silenced.Store(true)
	}
	mu.Unlock()
	before := updates.Load()
	h.eventually("the node is heard again", func() bool { return updates.Load() > before })
	h.eventually("it is the primary again", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.primary != nil
	})
	h.eventually("it counts the follower once", func() bool {
		node.mu.Lock()
		defer node.mu.Unlock()
		return node.census.gateways() == 1
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, at := range f.lostAt {
		t.Errorf("%s was counted lost at %s", address, at)
	}
}
