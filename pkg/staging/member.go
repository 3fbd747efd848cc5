// ================================================================
// A member of the exchange of weights: what a stager and a cache have in
// common. It follows the control nodes, knows the other members, keeps copies,
// asks for chunks and answers those who ask.
// ================================================================

package staging

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// firstVersion is served where none was named.
const firstVersion = 1

// Member exchanges chunks with other members.
type Member struct {
	process      *daemon.Process
	protocol     Protocol
	follower     *feed.Follower
	registry     *registry.Table
	peerFailures *peerFailures
	metrics      *metrics
	runContext   context.Context
	index        serviceconfig.Current
	versions     *feed.VersionTable
	rolloutLimit time.Duration // the agreed time; 0 where it is not known
	wake         chan struct{}
	stagingArea  engineStagingArea

	manifestLock    sync.Mutex
	originManifests map[string]Manifest // the newest, by model

	notices   *link.Messenger[notice]
	uploads   chan struct{}
	fetchLock sync.Mutex
	fetches   map[fetchKey]bool

	planLock  sync.Mutex
	plan      plan         // the last one made,
	planCopy  *weightsCopy // for this copy,
	planSwarm swarm        // from these members

	mu     sync.Mutex
	copies map[string][]*weightsCopy // by model, the newest last
}

// engineStagingArea is how chunks are read that lie beside the engine of a stager; its
// functions are nil at a cache.
type engineStagingArea struct {
	address   string
	isServed  func(version uint64) bool
	isServing func() bool // anything at all
	readChunk func(ctx context.Context, model string, number int) ([]byte, error)
}

// newMember returns a member that is not running yet. seeds are the link
// addresses of control nodes, and uploads bounds the chunks on their way to
// others at one time.
func newMember(process *daemon.Process, protocol Protocol, hello feed.Hello, seeds func() []string, uploads int) *Member {
	m := &Member{
		process: process, protocol: protocol, registry: registry.NewTable(nil), peerFailures: newPeerFailures(),
		metrics: newMetrics(process.Registry), wake: make(chan struct{}, 1), runContext: context.Background(),
		originManifests: map[string]Manifest{}, notices: link.NewMessenger[notice](process.Endpoint, link.KindChunkNotice),
		uploads: make(chan struct{}, uploads), fetches: map[fetchKey]bool{}, versions: feed.NewVersionTable(), copies: map[string][]*weightsCopy{},
	}
	m.follower = &feed.Follower{
		Endpoint: process.Endpoint, Hello: hello, Seeds: seeds, DocumentNumber: m.index.Number, OnUpdate: m.applyUpdate,
		Versions: func() []feed.NamedVersion { return m.versions.Current(time.Now()) }, Logger: process.Logger,
	}
	process.Endpoint.Handle(link.KindChunkOf, m.serveQuery)
	process.Endpoint.Handle(link.KindChunkNotice, m.serveNotices)
	return m
}

// applyUpdate takes what a control node tells.
func (m *Member) applyUpdate(address string, u feed.Update) {
	for _, r := range u.Registrations() {
		m.registry.Receive(r)
	}
	moves := m.versions.Merge(u.Versions(), time.Now())
	feed.LogVersionChanges(m.process.Logger, moves, string(feed.RoleNode), address)
	changed := feed.HasNewVersion(moves)
	if d := u.Document(); d != nil && m.index.Raise(*d) {
		changed = true
	}
	if changed {
		m.wakeLoop()
	}
}

func (m *Member) wakeLoop() {
	daemon.Wake(m.wake)
}

// origin returns the address of the weights origin; empty while not known.
func (m *Member) origin() string {
	if index := m.index.Load(); index != nil {
		return index.Origin()
	}
	return ""
}

// wanted returns the newest named version of a model.
func (m *Member) wanted(model string) feed.VersionInfo { return orFirst(m.versions.Newest(model)) }

// nextDue returns the oldest named version above the one that is served: its
// time ends first, whatever was named after it. Where the time of later ones is
// over too, or ends with its own, it is the last of these: requests may use none
// before.
func (m *Member) nextDue(model string, served uint64) feed.VersionInfo {
	if m.rolloutLimit > 0 {
		if due := m.versions.Due(model, m.rolloutLimit, time.Now()); due > served {
			served = due - 1
		}
	}
	next := m.versions.Next(model, served)
	first := next.Since()
	for n := next; n.Version() > 0 && n.Since().Sub(first) < simultaneousSpan; n = m.versions.Next(model, n.Version()) {
		next = n
	}
	return orFirst(next)
}

// simultaneousSpan is how far apart the namings of two versions are at the most for their
// times to end together: as those that a control node reads from its log are when
// nobody is left who knew when they were named. It is far less than a copy takes.
const simultaneousSpan = 100 * time.Millisecond

// orFirst returns a named version, or the first one where none was named.
func orFirst(n feed.VersionInfo) feed.VersionInfo {
	if n.Version() == 0 {
		return feed.NewVersionInfo(firstVersion, time.Time{})
	}
	return n
}

// ----------------------------------------------------------------
// Copies

// obtain returns a complete copy of a version, gathering it if need be; nil
// when it could not be had or another version became the target meanwhile. held
// returns the version that is held or served here.
func (m *Member) obtain(ctx context.Context, model string, want feed.VersionInfo, held func() uint64) (*weightsCopy, error) {
	c := m.copyOf(model, want.Version())
	if c == nil {
		manifest, err := m.findManifest(ctx, model, want.Version())
		if err != nil {
			return nil, err
		}
		if c = m.addEmptyCopy(manifest); c == nil {
			return nil, nil
		}
	}
	if c.isComplete() {
		return c, nil
	}
	gathering, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.cancelOnNewTarget(gathering, cancel, model, want.Version(), held)
	started := time.Now()
	m.download(gathering, c)
	if !c.isComplete() {
		return nil, nil
	}
	m.logComplete(c, want, started)
	return c, nil
}

// maxCopies of a model are kept: the newest named version, and the one before
// while that one can't be had.
const maxCopies = 2

// addEmptyCopy makes room for a copy; the oldest is given up. It returns the copy that
// is there already, and nil when enough later ones are.
func (m *Member) addEmptyCopy(manifest Manifest) *weightsCopy {
	if held := m.copyOf(manifest.model, manifest.version); held != nil {
		return held
	}
	return m.addCopy(newCopy(manifest))
}

func (m *Member) addCopy(c *weightsCopy) *weightsCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := m.copies[c.manifest.model]
	at, found := slices.BinarySearchFunc(copies, c.manifest.version, compareVersion)
	if found {
		return copies[at]
	}
	copies = slices.Insert(slices.Clone(copies), at, c)
	spare := max(len(copies)-maxCopies, 0)
	m.copies[c.manifest.model] = copies[spare:]
	if at < spare {
		return nil
	}
	return c
}

func compareVersion(c *weightsCopy, version uint64) int {
	return cmp.Compare(c.manifest.version, version)
}

// copyOf returns the copy of a version; nil when there is none.
func (m *Member) copyOf(model string, version uint64) *weightsCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := m.copies[model]
	if at, found := slices.BinarySearchFunc(copies, version, compareVersion); found {
		return copies[at]
	}
	return nil
}

// newestComplete returns the newest version of a model that is whole here; 0
// when none is.
func (m *Member) newestComplete(model string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range slices.Backward(m.copies[model]) {
		if c.isComplete() {
			return c.manifest.version
		}
	}
	return 0
}

func (m *Member) knownManifest(model string, version uint64) *Manifest {
	if c := m.copyOf(model, version); c != nil {
		return &c.manifest
	}
	return nil
}

// ----------------------------------------------------------------
// The other members

// members returns the failure domain of each member that exchanges a model's
// chunks by link address, this one included, and which of them are caches.
func (m *Member) members(model string) (domains map[string]string, caches map[string]bool) {
	domains, caches = map[string]string{}, map[string]bool{}
	service := ""
	if index := m.index.Load(); index != nil {
		if s, ok := index.ServiceOfModel(model); ok {
			service = s.Name()
		}
	}
	for address, p := range m.follower.Peers() {
		if p.Cache() {
			caches[address] = true
		} else if p.Service() != service {
			continue
		}
		domains[address] = p.Domain()
	}
	own := m.process.Identity
	domains[own.Address()] = own.Domain()
	if m.stagingArea.isServed == nil {
		caches[own.Address()] = true
	}
	return domains, caches
}

// holders returns the other stagers whose engine serves a version.
func (m *Member) holders(model string, version uint64) map[string]bool {
	serving := map[string]bool{}
	for _, r := range m.registry.All() {
		if r.State() == registry.Ready && r.Version(model, 0) == version {
			serving[r.Address()] = true
		}
	}
	holders := map[string]bool{}
	for address, p := range m.follower.Peers() {
		if address != m.process.Identity.Address() && serving[p.Engine()] && !m.peerFailures.isUnavailable(address) {
			holders[address] = true
		}
	}
	return holders
}

func (m *Member) logComplete(c *weightsCopy, want feed.VersionInfo, started time.Time) {
	_ = level.Info(m.process.Logger).Log("msg", "copy complete", "model", c.manifest.model, "version", c.manifest.version,
		"ms", time.Since(started).Milliseconds(), "since_named_ms", sinceNamed(want))
}

// sinceNamed returns for how long a version has been named, in milliseconds;
// 0 when it never was.
func sinceNamed(want feed.VersionInfo) int64 {
	if want.Since().IsZero() {
		return 0
	}
	return time.Since(want.Since()).Milliseconds()
}
