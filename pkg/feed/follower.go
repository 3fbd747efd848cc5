// ================================================================
// The follower: one stream to every control node that it knows of, from its
// settings or from another node. A node that says nothing for a while is
// dropped and dialed again; what it told before stays in use.
// ================================================================

package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/link"
)

const (
	// silence is how long a node may say nothing.
	silence = 2500 * time.Millisecond
	// askAgain is when a document is asked of another node.
	askAgain = 400 * time.Millisecond
	// nearFirst is how long nodes of other failure domains wait for one of the
	// own to have the document too: it is large, and links between are narrow.
	nearFirst = 150 * time.Millisecond
	// leastPause and mostPause lie between two dials of a node.
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// lookEvery is the time between looks at the seeds.
	lookEvery = 500 * time.Millisecond
)

// Follower keeps streams to all control nodes.
type Follower struct {
	// Endpoint dials.
	Endpoint *link.Endpoint
	// Hello says who follows.
	Hello Hello
	// Seeds returns the link addresses from the settings.
	Seeds func() []string
	// Held returns the number of the document in force here.
	Held func() uint64
	// Take takes an Update of the node at an address. It is called from one
	// goroutine a node, at the same time for several nodes.
	Take func(address string, u Update)
	// Logger gets a line for each node that is found or lost.
	Logger log.Logger

	mu       sync.Mutex
	told     map[string][]string // by node: the nodes that it told
	active   map[string]context.CancelFunc
	gateways map[string]int
	demands  map[string][]Demand // by node: of the gateways that follow it
	peers    map[string][]Peer
	streams  map[string]*link.Stream
	asked    uint64
	askedAt  time.Time
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.told, f.active = map[string][]string{}, map[string]context.CancelFunc{}
	f.gateways, f.peers = map[string]int{}, map[string][]Peer{}
	f.demands = map[string][]Demand{}
	f.streams = map[string]*link.Stream{}
	f.mu.Unlock()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		f.adjust(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// adjust starts a stream to each node known of and ends the others.
func (f *Follower) adjust(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := map[string]bool{}
	for _, address := range f.Seeds() {
		wanted[address] = true
	}
	for _, address := range f.knownNodes() {
		wanted[address] = true
	}
	for address := range wanted {
		if f.active[address] == nil {
			c, cancel := context.WithCancel(ctx)
			f.active[address] = cancel
			go f.keep(c, address)
		}
	}
	for address, cancel := range f.active {
		if !wanted[address] {
			cancel()
			delete(f.active, address)
		}
	}
}

// knownNodes returns the nodes that others told of: those that are heard now,
// or all that ever told anything when none is.
func (f *Follower) knownNodes() []string {
	var known []string
	for address, nodes := range f.told {
		if _, heard := f.gateways[address]; heard || len(f.gateways) == 0 {
			known = append(known, nodes...)
		}
	}
	return known
}

// keep follows one node until the context ends.
func (f *Follower) keep(ctx context.Context, address string) {
	pause := leastPause
	for ctx.Err() == nil {
		started := time.Now()
		err := f.follow(ctx, address)
		f.lost(address)
		if time.Since(started) > silence {
			pause = leastPause
			_ = level.Info(f.Logger).Log("msg", "control node lost", "node", address, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, mostPause)
	}
}

func (f *Follower) follow(ctx context.Context, address string) error {
	stream, err := f.Endpoint.Open(ctx, address, link.KindFeed, "")
	if err != nil {
		return err
	}
	defer stream.Close()
	stream.SetDeadline(time.Now().Add(silence))
	if err := stream.Send(f.Hello); err != nil {
		return err
	}
	_ = level.Info(f.Logger).Log("msg", "control node found", "node", address)
	for {
		var u Update
		if err := stream.Receive(&u); err != nil {
			f.Endpoint.Drop(address)
			return err
		}
		stream.SetDeadline(time.Now().Add(silence))
		f.note(address, stream, u)
		f.Take(address, u)
		if u.number > f.Held() {
			f.askSoon(stream, u.number)
		}
	}
}

// askSoon asks a node for its document: at once where it is near or no near
// node is heard, else when no near one had it in time. A failure to send shows
// in the reading.
func (f *Follower) askSoon(stream *link.Stream, number uint64) {
	ask := func() {
		if f.claimAsk(number) {
			_ = stream.Send(Word{ask: true})
		}
	}
	if f.isNear(stream) || !f.hearsNear() {
		ask()
		return
	}
	time.AfterFunc(nearFirst, ask)
}

// claimAsk tells whether a node may be asked for a document: it is newer than
// the one held, and no other node was asked for it just now.
func (f *Follower) claimAsk(number uint64) bool {
	if number <= f.Held() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if number <= f.asked && now.Sub(f.askedAt) < askAgain {
		return false
	}
	f.asked, f.askedAt = number, now
	return true
}

func (f *Follower) isNear(stream *link.Stream) bool {
	return stream.Peer().Domain() == f.Hello.Self().Domain()
}

// hearsNear tells whether a node of the own failure domain is heard.
func (f *Follower) hearsNear() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stream := range f.streams {
		if f.isNear(stream) {
			return true
		}
	}
	return false
}

func (f *Follower) note(address string, stream *link.Stream, u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands[address] = u.demands
	if !u.whole {
		return
	}
	f.told[address] = u.nodes
	f.gateways[address] = u.gateways
	f.streams[address] = stream
	f.peers[address] = u.peers
}

// lost forgets what only counts while the node is heard. Its list of nodes
// stays: it is the way to the others should the seeds be gone.
func (f *Follower) lost(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.gateways, address)
	delete(f.demands, address)
	delete(f.streams, address)
	delete(f.peers, address)
}

// Tell tells one node that is heard the load of the engine here. Which one does
// not matter: gateways follow all.
func (f *Follower) Tell(l Load) {
	f.mu.Lock()
	var first string
	for address := range f.streams {
		if first == "" || address < first {
			first = address
		}
	}
	stream := f.streams[first]
	f.mu.Unlock()
	if stream != nil {
		// A failure shows in the reading, which then forgets the stream.
		_ = stream.Send(Word{load: &l})
	}
}

// TellDemand tells all nodes that are heard how many requests for engines come
// to the gateway here, a second. Each of them adds up what it is told.
func (f *Follower) TellDemand(perSecond float64) {
	f.mu.Lock()
	streams := slices.Collect(maps.Values(f.streams))
	f.mu.Unlock()
	for _, stream := range streams {
		// A failure shows in the reading, which then forgets the stream.
		_ = stream.Send(Word{demand: perSecond})
	}
}

// Demands returns how many requests for engines come to all gateways a second,
// by failure domain: the largest that a node told of.
func (f *Follower) Demands() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := map[string]float64{}
	for _, demands := range f.demands {
		for _, d := range demands {
			most[d.domain] = max(most[d.domain], d.perSecond)
		}
	}
	return most
}

// Gateways returns the largest number of gateways that a node told of.
func (f *Follower) Gateways() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, n := range f.gateways {
		most = max(most, n)
	}
	return most
}

// Peers returns the stagers that any node told of, by address.
func (f *Follower) Peers() map[string]Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]Peer{}
	for _, peers := range f.peers {
		for _, p := range peers {
			all[p.address] = p
		}
	}
	return all
}
