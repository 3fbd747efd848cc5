// ================================================================
// Client side of the feed: streams to two control nodes, which are selected among those that the
// settings list or a node reported, and for a while to others that are to replace them. A control
// node follows all others. A node that sends nothing for nodeTimeout is replaced by another one; what
// it sent stays in use. A gateway whose two nodes both fall silent connects to fallback nodes at once
// (fallback.go).
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
	// nodeTimeout is how long a node may send nothing: two and a half update intervals.
	nodeTimeout = 2500 * time.Millisecond
	// linkCheckDelay is how long a node may send nothing before its link is checked: one update
	// interval and the time that an Update may wait behind chunks. A silent link is replaced
	// without counting the node as lost.
	linkCheckDelay = 1200 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the exponential backoff between two dials of a node.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 800 * time.Millisecond
	// adjustInterval is the time between two selections of nodes, for changes of the seeds.
	adjustInterval = 500 * time.Millisecond
	// failedRankDuration is how long a node keeps rankFailed after its loss.
	failedRankDuration = 2 * time.Second
	// quorumTimeout is how long a node may lack contact with the leader before another one is
	// followed in addition: an election takes a second.
	quorumTimeout = 2 * time.Second
	// maxInitialRecords bounds the quarantine records that a node gets when its stream opens,
	// those with the most crashes first: about 10 KB.
	maxInitialRecords = 64
	// primaryWarmup is how long a node must have been connected before it replaces a working
	// primary. A node that has just started counts few gateways, and gateways that use its count
	// as the total send engines more requests than they have slots.
	primaryWarmup = 2 * time.Second
)

// Follower keeps streams to control nodes. The exported fields are set before Run; their functions
// may be called from several goroutines.
type Follower struct {
	// Endpoint dials the nodes.
	Endpoint *link.Endpoint
	// Hello is the first message of each stream.
	Hello Hello
	// Seeds returns the link addresses of control nodes from the settings.
	Seeds func() []string
	// DocumentNumber returns the number of the document in force at this process.
	DocumentNumber func() uint64
	// OnUpdate handles an Update of the node at an address. It is called from one goroutine per
	// node, concurrently for several nodes.
	OnUpdate func(address string, u Update)
	// NamedVersions returns the named versions known to this process, for nodes that have restarted; nil
	// if it keeps none.
	NamedVersions func() []NamedVersion
	// Records returns the quarantine records known to this process, for nodes that have restarted;
	// nil if it keeps none.
	Records func() []quarantine.Record
	// Logger gets a line for each node that is found or lost.
	Logger log.Logger

	wake chan struct{}

	mu              sync.Mutex
	streams         map[string]*followedNode // by address of the node
	nodeLists       map[string][]Node        // control nodes that each node reported, by address of the node
	lostAt          map[string]time.Time     // time of the last loss, by address of the node
	withoutQuorumAt map[string]time.Time     // when a node without contact with the leader was left, by its address
	openedAt        time.Time                // when a stream to one of the pair was last opened
	primary         *link.Stream             // the stream whose node was last made the primary
	inventory       receivedInventory
	requestedNumber uint64
	requestedAt     time.Time
	requestedFrom   *link.Stream // the stream whose node has not answered the last request; nil if it has
	lastUpdateAt    time.Time    // last Update of a node that is not a fallback
	lastQuorumAt    time.Time    // last such Update of a node in contact with the leader
	fallbackTimer   *time.Timer  // wakes Run to add fallback nodes; nil before Run
}

// followedNode is a node that a stream is kept to.
type followedNode struct {
	cancel      context.CancelFunc
	stream      *link.Stream // nil while not connected
	domain      string
	connectedAt time.Time // time of the first Update since the node was lost
	quorumAt    time.Time // last time at which the node was in contact with the leader
	fallback    bool      // it sends documents and versions only
}

// Run keeps the streams until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.wake = make(chan struct{}, 1)
	f.streams, f.nodeLists = map[string]*followedNode{}, map[string][]Node{}
	f.lostAt, f.withoutQuorumAt = map[string]time.Time{}, map[string]time.Time{}
	f.fallbackTimer = time.AfterFunc(time.Hour, func() { daemon.Wake(f.wake) })
	f.mu.Unlock()
	defer f.fallbackTimer.Stop()
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
// Selection of nodes

// adjust opens a stream to each selected node, closes the others, and notifies the nodes of a change of
// the primary.
func (f *Follower) adjust(ctx context.Context) {
	f.mu.Lock()
	now := time.Now()
	wanted := f.wantedNodes(now)
	regular := append(slices.Clone(wanted), f.preferredNodes(now)...)
	fallbacks := f.fallbackNodes(regular, now)
	if f.open(ctx, regular, false) {
		f.openedAt = now
	}
	f.open(ctx, fallbacks, true)
	f.closeOthers(append(slices.Clone(regular), fallbacks...), now)
	messages := f.promoteFallbacks(regular)
	maps.Copy(messages, f.choosePrimary(wanted, now))
	f.mu.Unlock()
	for stream, m := range messages {
		// The receiving goroutine gets the failure too and drops the stream.
		_ = stream.Send(m)
	}
}

// open opens streams to those of the nodes that have none, and reports whether there were any. The caller
// holds the lock.
func (f *Follower) open(ctx context.Context, nodes []string, fallback bool) (opened bool) {
	for _, address := range nodes {
		if f.streams[address] == nil {
			streamCtx, cancel := context.WithCancel(ctx)
			f.streams[address] = &followedNode{cancel: cancel, fallback: fallback}
			go f.followWithRetries(streamCtx, address)
			opened = true
		}
	}
	return opened
}

// closeOthers closes the streams to other nodes, except one that a document is expected from. The caller
// holds the lock.
func (f *Follower) closeOthers(kept []string, now time.Time) {
	for address, s := range f.streams {
		if slices.Contains(kept, address) || f.awaitsDocument(s) {
			continue
		}
		f.recordLeft(address, now)
		s.cancel()
		delete(f.streams, address)
		if f.primary == s.stream {
			f.primary = nil
		}
	}
}

// choosePrimary makes the first node that can be the primary the primary. It returns the messages
// that notify the nodes.
func (f *Follower) choosePrimary(wanted []string, now time.Time) map[*link.Stream]FollowerMessage {
	if f.Hello.role == RoleNode {
		// Every node gets the reports of this node's followers.
		return nil
	}
	messages := map[*link.Stream]FollowerMessage{}
	first := slices.IndexFunc(wanted, func(address string) bool { return f.canBePrimary(f.streams[address], now) })
	if first < 0 || f.streams[wanted[first]].stream == f.primary {
		return messages
	}
	if f.primary != nil {
		messages[f.primary] = FollowerMessage{subscription: Backup}
	}
	f.primary = f.streams[wanted[first]].stream
	messages[f.primary] = FollowerMessage{subscription: Primary}
	return messages
}

// canBePrimary reports whether a node may become or stay the primary.
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
	return choosePair(f.Hello.self, f.pairCandidates(now))
}

// candidates returns the nodes that may be followed, with their current ranks.
func (f *Follower) candidates(now time.Time) (all []candidate) {
	for address, domain := range f.knownNodes() {
		all = append(all, candidate{address, domain, f.rankOf(address, now)})
	}
	return all
}

// knownNodes returns the failure domains of the nodes to choose from, by address: the seeds, and
// the nodes that connected nodes reported, or if none of those is connected, that any node ever
// reported. A fallback node reports no nodes.
func (f *Follower) knownNodes() map[string]string {
	known := map[string]string{}
	for _, address := range f.Seeds() {
		known[address] = ""
	}
	connected := f.connectedNodes()
	for address, nodes := range f.nodeLists {
		if !connected[address] && len(connected) > 0 {
			continue
		}
		for _, n := range nodes {
			if known[n.address] == "" {
				known[n.address] = n.domain
			}
		}
	}
	for address, s := range f.streams {
		if _, ok := known[address]; ok && s.domain != "" {
			known[address] = s.domain
		}
	}
	return known
}

func (f *Follower) connectedNodes() map[string]bool {
	connected := map[string]bool{}
	for address, s := range f.streams {
		if s.stream != nil && len(f.nodeLists[address]) > 0 {
			connected[address] = true
		}
	}
	return connected
}

func (f *Follower) rankOf(address string, now time.Time) candidateRank {
	s := f.streams[address]
	switch {
	case s != nil && s.stream != nil && now.Sub(s.quorumAt) < quorumTimeout && s.fallback:
		return rankFallback
	case s != nil && s.stream != nil && now.Sub(s.quorumAt) < quorumTimeout && now.Sub(s.connectedAt) < f.settlingTime():
		return rankSettling
	case s != nil && s.stream != nil && now.Sub(s.quorumAt) < quorumTimeout:
		return rankHealthy
	case s != nil && s.stream != nil:
		return rankNoQuorum
	case now.Sub(f.lostAt[address]) < failedRankDuration:
		return rankFailed
	case now.Sub(f.withoutQuorumAt[address]) < quorumLossMemory:
		return rankNoQuorum
	}
	return rankUntried
}

// ----------------------------------------------------------------
// Stream to one node

// followWithRetries keeps a stream to one node, with exponential backoff between attempts, until
// the context ends.
func (f *Follower) followWithRetries(ctx context.Context, address string) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := f.followOnce(ctx, address)
		if err == errLinkReplaced {
			continue
		}
		f.markLost(ctx, address)
		if time.Since(started) > nodeTimeout {
			delay = minRedialDelay
			_ = level.Info(f.Logger).Log("msg", "control node lost", "node", address, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// errLinkReplaced reports that a silent link was replaced by a new one: the node is not lost, and
// is followed over the new link.
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
	linkCheck := time.AfterFunc(linkCheckDelay, func() { f.Endpoint.Probe(address, time.Now()) })
	defer linkCheck.Stop()
	stream.SetDeadline(time.Now().Add(nodeTimeout))
	hello := f.Hello
	if f.NamedVersions != nil {
		hello.namedVersions = f.NamedVersions()
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
		linkCheck.Reset(linkCheckDelay)
		stream.SetDeadline(time.Now().Add(nodeTimeout))
		if f.recordUpdate(address, stream, u) {
			// New records are sent over this stream from now on, so none is missed between the two.
			f.sendKnownRecords(stream)
		}
		f.OnUpdate(address, u)
		if u.document != nil {
			f.recordDocument(stream, u.document.Number())
		}
		if u.documentNumber > f.DocumentNumber() {
			f.requestDocument(stream, u.documentNumber)
		}
	}
}

// isRestarted reports whether the new link of a connected node leads to another process: the node
// has restarted, and its earlier state is lost.
func (f *Follower) isRestarted(address string, stream *link.Stream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.streams[address]
	return s != nil && s.stream != nil && s.stream.Peer() != stream.Peer()
}

// recordUpdate stores what a node reported of itself and of the other followers, and reports
// whether this is the first Update over the stream.
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
			// The node moved to another link and is made the primary again there.
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
		// A former primary may still send its inventory; it is older and ignored.
		f.inventory.apply(address, u)
	}
	return first
}

// markLost removes the stream of a node. Its list of nodes stays, as the only way to the others if
// the seeds are gone.
func (f *Follower) markLost(ctx context.Context, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		// The node is not wanted any more, and another stream to it may have been opened.
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
