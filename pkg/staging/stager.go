// ================================================================
// The stager: puts the parts together and keeps one loop that compares what the
// engine serves with what is named, and closes the gap.
// ================================================================

package staging

import (
	"context"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// idleLook is the time between looks at an engine that serves what is
	// named, and busyLook at one that does not.
	idleLook = time.Second
	busyLook = 100 * time.Millisecond
	// engineTimeout bounds a call of the engine.
	engineTimeout = 2 * time.Second
	// uploadsAtOnce bounds the chunks on their way to others at one time.
	uploadsAtOnce = 2
	// firstVersion is served where none was named.
	firstVersion = 1
	// goMemoryShare of the process's memory is the collector's limit.
	goMemoryShare = 0.6
)

// Stager is one stager process.
type Stager struct {
	settings settings.Staging
	seeds    *daemon.Reloaded[[]string]
	process  *daemon.Process
	protocol Protocol
	follower *feed.Follower
	registry *registry.Table
	failing  *failingPeers
	metrics  *metrics
	running  context.Context
	index    atomic.Pointer[serviceconfig.Index]
	wake     chan struct{}

	served atomic.Uint64 // the version that the engine served last

	manifestLock   sync.Mutex
	drawnManifests map[string]Manifest // the newest, by model

	notices  *link.Messenger[notice]
	uploads  chan struct{}
	fetching sync.Mutex
	underWay map[fetchKey]bool

	mu     sync.Mutex
	named  map[string]named
	copies map[string]*weightsCopy // the newest, by model
}

// named is a named version and since when.
type named struct {
	version uint64
	since   time.Time
}

// New returns a stager that is not running yet. path is its settings file,
// read again on a reload; it may be empty.
func New(c settings.Staging, path string, protocol Protocol, seams daemon.Seams) (*Stager, error) {
	debug.SetMemoryLimit(int64(float64(c.Memory()) * goMemoryShare))
	process, err := daemon.New(c.Common(), vm.FreshIncarnation(), seams)
	if err != nil {
		return nil, err
	}
	s := &Stager{
		settings: c, process: process, protocol: protocol, registry: registry.NewTable(nil), failing: newFailingPeers(),
		metrics: newMetrics(process.Registry), wake: make(chan struct{}, 1), running: context.Background(),
		drawnManifests: map[string]Manifest{}, notices: link.NewMessenger[notice](process.Endpoint, link.KindChunkNotice), uploads: make(chan struct{}, uploadsAtOnce), underWay: map[fetchKey]bool{}, named: map[string]named{}, copies: map[string]*weightsCopy{},
	}
	s.seeds = daemon.NewReloaded(path, c.Seeds(), func(path string) ([]string, error) {
		again, err := settings.LoadStaging(path)
		return again.Seeds(), err
	}, process.Logger)
	s.follower = &feed.Follower{
		Endpoint: process.Endpoint,
		Hello:    feed.NewHello(feed.RoleStager, process.Identity, c.Service(), c.Engine()),
		Seeds:    func() []string { return link.WithPortOf(s.seeds.Get(), process.Identity.Address()) },
		Held: func() uint64 {
			if index := s.index.Load(); index != nil {
				return index.Number()
			}
			return 0
		},
		Take:   s.takeUpdate,
		Logger: process.Logger,
	}
	process.Endpoint.Handle(link.KindChunkOf, s.serveQuestion)
	process.Endpoint.Handle(link.KindChunkNotice, s.serveNotices)
	return s, nil
}

// Run runs the stager until a signal.
func (s *Stager) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer s.process.Endpoint.Close()
	defer s.notices.Close()
	s.running = ctx
	s.process.LogStart()
	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error {
		return s.process.ServeLinks(ctx, s.settings.Common().PeersListen())
	})
	add(s.process.ServeObserve)
	add(s.follower.Run)
	add(s.seeds.Run)
	add(s.loop)
	add(s.tellLoads)
	add(func(ctx context.Context) error { return daemon.WaitSignal(ctx, signals) })
	err := group.Run()
	s.process.LogStop(err)
	return err
}

// takeUpdate takes what a control node tells.
func (s *Stager) takeUpdate(_ string, u feed.Update) {
	for _, r := range u.Registrations() {
		s.registry.Hear(r)
	}
	s.mu.Lock()
	changed := false
	for _, w := range u.Weights() {
		if held := s.named[w.Model()]; w.Version() > held.version {
			s.named[w.Model()] = named{w.Version(), time.Now().Add(-w.Age())}
			changed = true
		}
	}
	if d := u.Document(); d != nil {
		if held := s.index.Load(); held == nil || d.Number() > held.Number() {
			s.index.Store(serviceconfig.NewIndex(*d))
			changed = true
		}
	}
	s.mu.Unlock()
	if changed {
		s.awake()
	}
}

func (s *Stager) awake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// loop looks at the engine and closes the gap to what is named.
func (s *Stager) loop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := busyLook
		if s.look(ctx) {
			pause = idleLook
		}
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(pause):
		}
	}
	return nil
}

// look does one step and tells whether the engine serves what is named.
func (s *Stager) look(ctx context.Context) (settled bool) {
	model, service, ok := s.model()
	if !ok {
		return false
	}
	report, err := s.report(ctx)
	if err != nil {
		// The engine is down; it will hold nothing when it is back.
		return true
	}
	want := s.wanted(model)
	layers := max(service.Engine().Layers(), 1)
	serves := wholeVersion(report.Holdings, model, layers)
	s.metrics.version.Set(float64(serves))
	s.served.Store(serves)
	if serves >= want.version {
		return true
	}
	s.bring(ctx, model, want, service)
	return false
}

func (s *Stager) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.ReadReport(ctx, s.settings.Engine())
}

func wholeVersion(holdings []registry.Holding, model string, layers int) uint64 {
	return registry.NewRegistration("", "", "", "", "", 0, registry.Ready, 0, holdings, 0).Version(model, layers)
}

// model returns the model that the engine here is to serve, and its service.
func (s *Stager) model() (string, *serviceconfig.Service, bool) {
	index := s.index.Load()
	if index == nil {
		return "", nil, false
	}
	service, ok := index.Service(s.settings.Service())
	if !ok || len(service.Engine().Models()) == 0 {
		return "", nil, false
	}
	return service.Engine().Models()[0], service, true
}

func (s *Stager) origin() string {
	if index := s.index.Load(); index != nil {
		return index.Origin()
	}
	return ""
}

// wanted returns the version that is to be served.
func (s *Stager) wanted(model string) named {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.named[model]
	if n.version == 0 {
		n.version = firstVersion
	}
	return n
}

// bring gathers the wanted version and has the engine serve it.
func (s *Stager) bring(ctx context.Context, model string, want named, service *serviceconfig.Service) {
	c := s.copyOf(model, want.version)
	if c == nil {
		m, err := s.findManifest(ctx, model, want.version)
		if err != nil || m.version != want.version {
			_ = level.Info(s.process.Logger).Log("msg", "manifest not found", "model", model, "version", want.version, "err", err)
			return
		}
		if c = s.keep(m); c == nil {
			return
		}
	}
	if !c.isComplete() {
		started := time.Now()
		gathering, cancel := context.WithCancel(ctx)
		go s.cancelWhenRenamed(gathering, cancel, model, want.version)
		s.gather(gathering, c)
		cancel()
		if !c.isComplete() {
			return
		}
		_ = level.Info(s.process.Logger).Log("msg", "copy complete", "model", model, "version", want.version,
			"ms", time.Since(started).Milliseconds(), "since_named_ms", time.Since(want.since).Milliseconds())
	}
	s.serve(ctx, c, want)
}

// cancelWhenRenamed ends the gathering of a version when a later one is named.
func (s *Stager) cancelWhenRenamed(ctx context.Context, cancel context.CancelFunc, model string, version uint64) {
	ticker := time.NewTicker(busyLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if s.wanted(model).version != version {
				cancel()
				return
			}
		}
	}
}

// keep makes room for a copy; the one before is given up. It returns the copy
// that is there already, and nil when there is a later one.
func (s *Stager) keep(m Manifest) *weightsCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.copies[m.model]; held != nil && held.manifest.version >= m.version {
		if held.manifest.version > m.version {
			return nil
		}
		return held
	}
	c := newCopy(m)
	s.copies[m.model] = c
	return c
}

// copyOf returns the copy of a version; nil when there is none.
func (s *Stager) copyOf(model string, version uint64) *weightsCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.copies[model]; c != nil && c.manifest.version == version {
		return c
	}
	return nil
}

func (s *Stager) knownManifest(model string, version uint64) *Manifest {
	if c := s.copyOf(model, version); c != nil {
		return &c.manifest
	}
	return nil
}

// domains returns the failure domain of each stager of this service by link
// address, this one included.
func (s *Stager) domains() map[string]string {
	domains := map[string]string{}
	for address, p := range s.follower.Peers() {
		if p.Service() == s.settings.Service() {
			domains[address] = p.Domain()
		}
	}
	domains[s.process.Identity.Address()] = s.process.Identity.Domain()
	return domains
}

// members returns the link addresses of the stagers of this service, sorted.
func (s *Stager) members() []string { return sortedKeys(s.domains()) }

// holders returns the other stagers whose engine serves a version.
func (s *Stager) holders(model string, version uint64) map[string]bool {
	serving := map[string]bool{}
	for _, r := range s.registry.All() {
		if r.State() == registry.Ready && r.Version(model, 0) == version {
			serving[r.Address()] = true
		}
	}
	holders := map[string]bool{}
	for address, p := range s.follower.Peers() {
		if address != s.process.Identity.Address() && p.Service() == s.settings.Service() && serving[p.Engine()] && !s.failing.rests(address) {
			holders[address] = true
		}
	}
	return holders
}
