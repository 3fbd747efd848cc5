// ================================================================
// The follower: streams to two control nodes, chosen among those that it knows
// of from its settings or from a node. A control node follows all others. One
// that says nothing for a while is dropped and another one takes its place; what
// it told before stays in use. A gateway whose two nodes say nothing follows others
// beside them at once (spares.go).
// ================================================================

package feed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/quarantine"
)

const (
	// nodeTimeout is how long a node may say nothing: two beats and a half.
	nodeTimeout = 2500 * time.Millisecond
	// linkCheckDelay is when the link to a node that says nothing is looked at: a beat, and
	// time to come behind chunks. A silent link is replaced, and the node not lost.
	linkCheckDelay = 1200 * time.Millisecond
	// minRedialDelay and mostPause lie between two dials of a node.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 800 * time.Millisecond
	// adjustInterval is the time between looks at the seeds.
	adjustInterval = 500 * time.Millisecond
	// failedRankDuration is how long a node that was lost stands behind others.
	failedRankDuration = 2 * time.Second
	// quorumTimeout is how long a node may be without word of a quorum's leader
	// before another one is followed beside it: an election takes a second.
	quorumTimeout = 2 * time.Second
	// maxInitialRecords bounds what a node is told at first of requests under which servers
	// ended, those with the most ends first: some 10 KB.
	maxInitialRecords = 64
	// primaryWarmup is how long a node is heard before it takes the place of a primary
	// that works. One that has just started counts few of the others, and gateways
	// that take its count for all send engines more than they have places for.
	primaryWarmup = 2 * time.Second
)

// Follower keeps streams to control nodes.
type Follower struct {
	// Endpoint dials.
	Endpoint *link.Endpoint
	// Hello says who follows.
	Hello Hello
	// Seeds returns the link addresses from the settings.
	Seeds func() []string
	// DocumentNumber returns the number of the document in force here.
	DocumentNumber func() uint64
	// OnUpdate takes an Update of the node at an address. It is called from one
	// goroutine a node, at the same time for several nodes.
	OnUpdate func(address string, u Update)
	// Versions returns the named versions that are known here, for nodes that have
	// started anew; nil where none are kept.
	Versions func() []NamedVersion
	// Records returns what is known here of requests under which servers ended, for nodes
	// that have started anew; nil where nothing is.
	Records func() []quarantine.Record
	// Logger gets a line for each node that is found or lost.
	Logger log.Logger

	wake chan struct{}

	mu              sync.Mutex
	streams         map[string]*followedNode // by node, those that are wanted
	nodeLists       map[string][]Node        // by node: the nodes that it told
	lostAt          map[string]time.Time     // by node: when it was last lost
	primary         *link.Stream             // the stream whose node was told so last
	inventory       receivedInventory
	requestedNumber uint64
	requestedAt     time.Time
	lastUpdateAt    time.Time   // the last word of a node that is no spare
	lastQuorumAt    time.Time   // the last of one that heard of a quorum's leader
	quietTimer      *time.Timer // has spares looked for when no word has come for a while; nil before Run
}

// followedNode is a node that a stream is kept to.
type followedNode struct {
	cancel      context.CancelFunc
	stream      *link.Stream // nil while it is not heard
	domain      string
	connectedAt time.Time // when it was first heard
	quorumAt    time.Time // when it was last sure that a quorum's leader is there
	fallback    bool      // it tells of documents and weights only
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.wake = make(chan struct{}, 1)
	f.streams, f.nodeLists, f.lostAt = map[string]*followedNode{}, map[string][]Node{}, map[string]time.Time{}
	f.quietTimer = time.AfterFunc(time.Hour, func() { daemon.Wake(f.wake) })
	f.mu.Unlock()
	defer f.quietTimer.Stop()
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		f.adjust(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// ----------------------------------------------------------------
// Which nodes are followed

// adjust starts a stream to each node that is wanted and ends the others, and
// tells the nodes which one is the primary.
func (f *Follower) adjust(ctx context.Context) {
	f.mu.Lock()
	now := time.Now()
	wanted := f.wantedNodes(now)
	spares := f.fallbackNodes(wanted, now)
	for i, address := range append(slices.Clone(wanted), spares...) {
		if f.streams[address] == nil {
			c, cancel := context.WithCancel(ctx)
			f.streams[address] = &followedNode{cancel: cancel, fallback: i >= len(wanted)}
			go f.followWithRetries(c, address)
		}
	}
	for address, s := range f.streams {
		if slices.Contains(wanted, address) || slices.Contains(spares, address) {
			continue
		}
		s.cancel()
		delete(f.streams, address)
		if f.primary == s.stream {
			f.primary = nil
		}
	}
	words := f.promoteFallbacks(wanted)
	maps.Copy(words, f.choosePrimary(wanted, now))
	f.mu.Unlock()
	for stream, w := range words {
		// A failure shows in the reading, which then forgets the stream.
		_ = stream.Send(w)
	}
}

// choosePrimary makes the first wanted node that may be it the primary, and returns
// what is to be told of that.
func (f *Follower) choosePrimary(wanted []string, now time.Time) map[*link.Stream]FollowerMessage {
	if f.Hello.role == RoleNode {
		// Every node is told what this one's followers tell.
		return nil
	}
	words := map[*link.Stream]FollowerMessage{}
	first := slices.IndexFunc(wanted, func(address string) bool { return f.canBePrimary(f.streams[address], now) })
	if first < 0 || f.streams[wanted[first]].stream == f.primary {
		return words
	}
	if f.primary != nil {
		words[f.primary] = FollowerMessage{subscription: Backup}
	}
	f.primary = f.streams[wanted[first]].stream
	words[f.primary] = FollowerMessage{subscription: Primary}
	return words
}

// canBePrimary tells whether a node may be the primary, or go on to be it.
func (f *Follower) canBePrimary(s *followedNode, now time.Time) bool {
	switch {
	case s.stream == nil:
		return false
	case f.primary == nil, s.stream == f.primary:
		return true
	}
	return now.Sub(s.connectedAt) >= primaryWarmup
}

// wantedNodes returns the nodes to follow, the primary first.
func (f *Follower) wantedNodes(now time.Time) []string {
	if f.Hello.role == RoleNode {
		known := f.knownNodes()
		delete(known, f.Hello.self.Address())
		return slices.Sorted(maps.Keys(known))
	}
	return choosePair(f.Hello.self, f.candidates(now))
}

// candidates are the nodes that may be followed, as they are seen now.
func (f *Follower) candidates(now time.Time) (all []candidate) {
	for address, domain := range f.knownNodes() {
		all = append(all, candidate{address, domain, f.rankOf(address, now)})
	}
	return all
}

// knownNodes returns the failure domains of the nodes to choose from, by address:
// the seeds and what was told by nodes that are heard now, or by all that ever
// told anything when none of these is. One that is a spare, or was until now, has not.
func (f *Follower) knownNodes() map[string]string {
	known := map[string]string{}
	for _, address := range f.Seeds() {
		known[address] = ""
	}
	heard := f.connectedNodes()
	for address, nodes := range f.nodeLists {
		if !heard[address] && len(heard) > 0 {
			continue
		}
		for _, n := range nodes {
			if known[n.address] == "" {
				known[n.address] = n.domain
			}
		}
	}
	for address, s := range f.streams {
		if _, there := known[address]; there && s.domain != "" {
			known[address] = s.domain
		}
	}
	return known
}

func (f *Follower) connectedNodes() map[string]bool {
	heard := map[string]bool{}
	for address, s := range f.streams {
		if s.stream != nil && len(f.nodeLists[address]) > 0 {
			heard[address] = true
		}
	}
	return heard
}

func (f *Follower) rankOf(address string, now time.Time) candidateRank {
	s := f.streams[address]
	switch {
	case s != nil && s.stream != nil && now.Sub(s.quorumAt) < quorumTimeout && s.fallback:
		return rankFallback
	case s != nil && s.stream != nil && now.Sub(s.quorumAt) < quorumTimeout:
		return rankHealthy
	case s != nil && s.stream != nil:
		return rankNoQuorum
	case now.Sub(f.lostAt[address]) < failedRankDuration:
		return rankFailed
	}
	return rankUntried
}

// ----------------------------------------------------------------
// One node

// followWithRetries follows one node until the context ends.
func (f *Follower) followWithRetries(ctx context.Context, address string) {
	pause := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := f.followOnce(ctx, address)
		if err == errLinkReplaced {
			continue
		}
		f.markLost(ctx, address)
		if time.Since(started) > nodeTimeout {
			pause = minRedialDelay
			_ = level.Info(f.Logger).Log("msg", "control node lost", "node", address, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRedialDelay)
	}
}

// errLinkReplaced says that the link was silent and another one took its place: the node was
// not lost, and is followed over the new one.
var errLinkReplaced = errors.New("the link was replaced")

func (f *Follower) followOnce(ctx context.Context, address string) error {
	stream, err := f.Endpoint.Open(ctx, address, link.KindFeed, "")
	if err != nil {
		return err
	}
	defer stream.Close()
	defer stream.OnReplaced(stream.Close)()
	if f.isRestarted(address, stream) {
		f.markLost(ctx, address)
	}
	late := time.AfterFunc(linkCheckDelay, func() { f.Endpoint.Doubt(address, time.Now()) })
	defer late.Stop()
	stream.SetDeadline(time.Now().Add(nodeTimeout))
	hello := f.Hello
	if f.Versions != nil {
		hello.versions = f.Versions()
	}
	hello.fallback = f.isFallback(address)
	if err := stream.Send(hello); err != nil {
		return err
	}
	_ = level.Info(f.Logger).Log("msg", "control node found", "node", address)
	for {
		var u Update
		if err := stream.Receive(&u); err != nil {
			if ctx.Err() == nil && stream.IsReplaced() {
				return errLinkReplaced
			}
			if ctx.Err() == nil {
				f.Endpoint.Drop(stream)
			}
			return err
		}
		late.Reset(linkCheckDelay)
		stream.SetDeadline(time.Now().Add(nodeTimeout))
		if f.recordUpdate(address, stream, u) {
			// From now on it is told what is learnt, so that nothing comes between.
			f.sendKnownRecords(stream)
		}
		f.OnUpdate(address, u)
		if u.number > f.DocumentNumber() {
			f.requestDocument(stream, u.number)
		}
	}
}

// isRestarted tells whether a node that was heard until now is another one behind the
// new link: it was started anew, and is lost as it was.
func (f *Follower) isRestarted(address string, stream *link.Stream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[address]
	return s != nil && s.stream != nil && s.stream.Peer() != stream.Peer()
}

// recordUpdate notes what a node told of itself and of the other followers, and tells whether it is
// heard over this stream for the first time.
func (f *Follower) recordUpdate(address string, stream *link.Stream, u Update) (first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[address]
	if s == nil {
		return false
	}
	now := time.Now()
	first = s.stream != stream
	if first {
		if s.stream == nil {
			s.connectedAt = now
		} else if s.stream == f.primary {
			// It moved to another link, and is told so there.
			f.primary = nil
		}
		s.stream, s.domain, s.quorumAt = stream, stream.Peer().Domain(), now
		daemon.Wake(f.wake)
	}
	if u.quorumConfirmed {
		s.quorumAt = now
	}
	f.recordActivity(s, u.quorumConfirmed, now)
	if len(u.nodes) > 0 {
		f.nodeLists[address] = u.nodes
		daemon.Wake(f.wake)
	}
	if stream == f.primary {
		// A node that was the primary just now may still tell its census.
		f.inventory.apply(address, u)
	}
	return first
}

// markLost forgets the stream to a node. Its list of nodes stays: it is the way to
// the others should the seeds be gone.
func (f *Follower) markLost(ctx context.Context, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		// It is not wanted any more, and another stream to it may have begun.
		return
	}
	if s := f.streams[address]; s != nil {
		if f.primary == s.stream {
			f.primary = nil
		}
		s.stream = nil
	}
	f.lostAt[address] = time.Now()
	daemon.Wake(f.wake)
}
