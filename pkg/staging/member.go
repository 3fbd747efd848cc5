// ================================================================
// A member of the exchange of weights, which is the common part of a stager and a cache. It follows
// the control nodes, tracks the other members, keeps copies, requests chunks and answers requests.
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

// firstVersion is the version to serve while none is named.
const firstVersion = 1

// Member exchanges chunks with other members.
type Member struct {
	process      *daemon.Process
	protocol     Protocol
	follower     *feed.Follower
	registry     *registry.Table
	peerFailures *peerFailures
	metrics      *metrics
	runContext   context.Context // ends when the member stops
	index        serviceconfig.Current
	versions     *feed.VersionTable
	rolloutLimit time.Duration // time from the naming of a version until engines must serve it; 0 if not known
	// checkSuspension adds a suspension of the VM that was not detected yet to the ages of versions. It is
	// called before ages are merged: those that arrive after the VM has resumed include the suspension.
	checkSuspension func()
	wake            chan struct{}
	stagingArea     engineStagingArea

	manifestLock    sync.Mutex
	originManifests map[string]Manifest // the newest fetched from the origin, by model

	notices   *link.Messenger[notice]
	uploads   chan struct{}
	fetchLock sync.Mutex
	fetches   map[fetchKey]bool

	planLock  sync.Mutex
	plan      plan         // the last computed plan
	planCopy  *weightsCopy // the copy of that plan
	planSwarm swarm        // the members of that plan

	mu     sync.Mutex
	copies map[string][]*weightsCopy // by model, oldest first
}

// engineStagingArea gives access to the chunks in the staging area of a stager's engine. Its
// functions are nil in a cache.
type engineStagingArea struct {
	address   string
	isServed  func(version uint64) bool // whether the engine serves the version
	isServing func() bool               // whether the engine serves any version
	readChunk func(ctx context.Context, model string, number int) ([]byte, error)
}

// newMember returns a member that is not running yet. seeds returns the link addresses of control
// nodes, and uploads bounds the concurrent uploads.
func newMember(process *daemon.Process, protocol Protocol, hello feed.Hello, seeds func() []string, uploads int) *Member {
	m := &Member{
		process: process, protocol: protocol, registry: registry.NewTable(nil), peerFailures: newPeerFailures(),
		metrics: newMetrics(process.Registry), checkSuspension: func() {}, wake: make(chan struct{}, 1), runContext: context.Background(),
		originManifests: map[string]Manifest{}, notices: link.NewMessenger[notice](process.Endpoint, link.KindStagerNotice),
		uploads: make(chan struct{}, uploads), fetches: map[fetchKey]bool{}, versions: feed.NewVersionTable(), copies: map[string][]*weightsCopy{},
	}
	m.follower = &feed.Follower{
		Endpoint: process.Endpoint, Hello: hello, Seeds: seeds, DocumentNumber: m.index.Number, OnUpdate: m.applyUpdate,
		NamedVersions: func() []feed.NamedVersion { return m.versions.Current(time.Now()) }, Logger: process.Logger,
	}
	process.Endpoint.Handle(link.KindStagerChunk, m.serveQuery)
	process.Endpoint.Handle(link.KindStagerNotice, m.serveNotices)
	return m
}

// applyUpdate merges an update that a control node sent.
func (m *Member) applyUpdate(address string, u feed.Update) {
	m.checkSuspension()
	for _, r := range u.Registrations() {
		m.registry.Receive(r)
	}
	changes := m.versions.Merge(u.NamedVersions(), time.Now())
	feed.LogVersionChanges(m.process.Logger, changes, string(feed.RoleNode), address)
	changed := feed.HasNewVersion(changes)
	if d := u.Document(); d != nil && m.index.Advance(*d) {
		changed = true
	}
	if changed {
		m.wakeLoop()
	}
}

// wakeLoop makes the control loop run now.
func (m *Member) wakeLoop() {
	daemon.Wake(m.wake)
}

// origin returns the address of the weights origin; empty if not known yet.
func (m *Member) origin() string {
	if index := m.index.Load(); index != nil {
		return index.Origin()
	}
	return ""
}

// newestNamed returns the newest named version of a model.
func (m *Member) newestNamed(model string) feed.VersionInfo {
	return orFirstVersion(m.versions.Newest(model))
}

// nextDue returns the oldest named version above the served one: it is due first, whatever was
// named after it. If later versions are due too, or become due together with it, nextDue returns
// the last of these, since requests may use none of the versions before it.
func (m *Member) nextDue(model string, served uint64) feed.VersionInfo {
	if m.rolloutLimit > 0 {
		if due := m.versions.Due(model, m.rolloutLimit, time.Now()); due > served {
			served = due - 1
		}
	}
	next := m.versions.Next(model, served)
	first := next.NamedAt()
	for n := next; n.Version() > 0 && n.NamedAt().Sub(first) < simultaneousSpan; n = m.versions.Next(model, n.Version()) {
		next = n
	}
	return orFirstVersion(next)
}

// simultaneousSpan is the greatest time between the naming of two versions that count as named
// together. A control node that reads versions from its log names them together if no running
// process knows their ages. The span is far less than the download of a copy takes.
const simultaneousSpan = 100 * time.Millisecond

// orFirstVersion returns n, or the first version if none is named.
func orFirstVersion(n feed.VersionInfo) feed.VersionInfo {
	if n.Version() == 0 {
		return feed.NewVersionInfo(firstVersion, time.Time{})
	}
	return n
}

// ----------------------------------------------------------------
// Copies

// obtain returns a complete copy of a version, which it downloads if necessary; nil if the copy is
// unavailable or another version became the target meanwhile. held returns the version that is held
// or served here.
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
	downloadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.cancelOnNewTarget(downloadCtx, cancel, model, want.Version(), held)
	started := time.Now()
	m.download(downloadCtx, c)
	if !c.isComplete() {
		return nil, nil
	}
	m.logComplete(c, want, started)
	return c, nil
}

// maxCopies is the number of copies kept of a model: the newest named version, and the previous one
// while the newest is unavailable.
const maxCopies = 2

// addEmptyCopy adds an empty copy with a manifest, in the way of addCopy.
func (m *Member) addEmptyCopy(manifest Manifest) *weightsCopy {
	if held := m.copyOf(manifest.model, manifest.version); held != nil {
		return held
	}
	return m.addCopy(newCopy(manifest))
}

// addCopy adds a copy and evicts the oldest one above maxCopies. It returns the existing copy of
// that version if there is one, and nil if maxCopies later ones exist.
func (m *Member) addCopy(c *weightsCopy) *weightsCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := m.copies[c.manifest.model]
	i, found := slices.BinarySearchFunc(copies, c.manifest.version, compareVersion)
	if found {
		return copies[i]
	}
	copies = slices.Insert(slices.Clone(copies), i, c)
	excess := max(len(copies)-maxCopies, 0)
	m.copies[c.manifest.model] = copies[excess:]
	if i < excess {
		return nil
	}
	return c
}

func compareVersion(c *weightsCopy, version uint64) int {
	return cmp.Compare(c.manifest.version, version)
}

// copyOf returns the copy of a version; nil if there is none.
func (m *Member) copyOf(model string, version uint64) *weightsCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	copies := m.copies[model]
	if i, found := slices.BinarySearchFunc(copies, version, compareVersion); found {
		return copies[i]
	}
	return nil
}

// newestComplete returns the newest version of a model with a complete copy; 0 if there is none.
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
// Other members

// members returns the failure domain, by link address, of each member that exchanges a model's
// chunks, including this one, and which of them are caches.
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

// sinceNamed returns the time since a version was named, in milliseconds; 0 if that is not known.
func sinceNamed(want feed.VersionInfo) int64 {
	if want.NamedAt().IsZero() {
		return 0
	}
	return time.Since(want.NamedAt()).Milliseconds()
}
