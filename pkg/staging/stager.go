// ================================================================
// The stager: puts the parts together and keeps one loop that compares what the
// engine serves with what is named, and closes the gap.
// ================================================================

package staging

import (
	"context"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/suspension"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// idleInterval is the time between looks at an engine that serves what is
	// named, and busyLook at one that does not.
	idleInterval = time.Second
	busyInterval = 100 * time.Millisecond
	// engineTimeout bounds a call of the engine.
	engineTimeout = 2 * time.Second
	// maxStagerUploads bounds the chunks on their way to others at one time: the
	// link is the engine's too.
	maxStagerUploads = 2
	// goMemoryShare of the process's memory is the collector's limit.
	goMemoryShare = 0.6
)

// Stager is one stager process: a member with an engine beside it.
type Stager struct {
	*Member
	settings      settings.Staging
	seeds         *daemon.Reloaded[[]string]
	servedVersion atomic.Uint64 // the version that the engine served last
	// ready is the newest complete copy, gathering the version that is being
	// gathered, and laid the copy whose chunks lie beside the engine.
	ready        atomic.Pointer[weightsCopy]
	downloading  atomic.Uint64
	staged       *weightsCopy
	refusedFence refusedFence // the last order that was refused for its token
	// draining says that the engine takes nothing new although it has no order
	// yet, and tell has its load told at once.
	draining    atomic.Bool
	loadChanged chan struct{}
	suspension  *suspension.Watch
	// reportCache and book answer gateways that ask for places.
	reportCache  reportCache
	reservations reservation.Book
}

// New returns a stager that is not running yet. path is its settings file,
// read again on a reload; it may be empty.
func New(c settings.Staging, path string, protocol Protocol, seams daemon.Seams) (*Stager, error) {
	debug.SetMemoryLimit(int64(float64(c.Memory()) * goMemoryShare))
	process, err := daemon.New(c.Common(), vm.FreshIncarnation(), seams)
	if err != nil {
		return nil, err
	}
	s := &Stager{settings: c, loadChanged: make(chan struct{}, 1), suspension: suspension.New()}
	s.seeds = daemon.NewSeeds(path, c, settings.LoadStaging, process.Logger)
	hello := feed.NewHello(feed.RoleStager, process.Identity, c.Service(), c.Engine(), nil, false)
	seeds := func() []string { return link.WithPortOf(s.seeds.Get(), process.Identity.Address()) }
	s.Member = newMember(process, protocol, hello, seeds, maxStagerUploads)
	s.rolloutLimit = c.Within()
	s.suspension.OnResume(s.versions.AddSuspension)
	s.suspension.OnResume(process.LogSuspension)
	process.Endpoint.Handle(link.KindReserve, s.serveReservation)
	s.stagingArea = engineStagingArea{
		address:   c.Engine(),
		isServed:  func(version uint64) bool { return s.servedVersion.Load() == version },
		isServing: func() bool { return s.servedVersion.Load() > 0 },
		readChunk: s.readStagedChunk,
	}
	return s, nil
}

// Run runs the stager until a signal.
func (s *Stager) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer s.process.Endpoint.Close()
	defer s.notices.Close()
	s.runContext = ctx
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
	add(s.suspension.Run)
	add(s.reconcileLoop)
	add(s.reportLoads)
	add(func(ctx context.Context) error { return daemon.WaitSignal(ctx, signals) })
	err := group.Run()
	s.process.LogStop(err)
	return err
}

// reconcileLoop looks at the engine and closes the gap to what is named.
func (s *Stager) reconcileLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-time.After(s.reconcile(ctx)):
		}
	}
	return nil
}

// reconcile does one step and returns when to look again.
func (s *Stager) reconcile(ctx context.Context) time.Duration {
	model, service, ok := s.model()
	if !ok {
		return busyInterval
	}
	report, err := s.report(ctx)
	if err != nil {
		// The engine is down; it will hold nothing when it is back.
		return idleInterval
	}
	want := s.wanted(model)
	serves := completeVersion(report.Holdings, model, max(service.Engine().Layers(), 1))
	s.metrics.version.Set(float64(serves))
	s.servedVersion.Store(serves)
	if serves >= want.Version() {
		return idleInterval
	}
	s.startDownload(ctx, model, s.target(model, serves))
	c := s.ready.Load()
	if c == nil || c.manifest.model != model || c.manifest.version <= serves || report.Busy {
		return busyInterval
	}
	if s.refusedFence.blocks(c.manifest.version, report) {
		return idleInterval
	}
	return s.activate(ctx, c, report, s.nextDue(model, serves), service)
}

// startDownload gathers a version beside the work of the loop: an earlier one that
// is complete may be due before it.
func (s *Stager) startDownload(ctx context.Context, model string, want feed.VersionInfo) {
	if c := s.ready.Load(); c != nil && c.manifest.model == model && c.manifest.version >= want.Version() {
		return
	}
	if s.downloading.Swap(want.Version()) == want.Version() {
		return
	}
	s.reportLoadNow()
	go func() {
		c, err := s.obtain(ctx, model, want, s.servedVersion.Load)
		if err != nil {
			_ = level.Info(s.process.Logger).Log("msg", "manifest not found", "model", model, "version", want.Version(), "err", err)
		}
		if c != nil {
			s.setReady(c)
		}
		s.downloading.CompareAndSwap(want.Version(), 0)
	}()
}

// setReady notes a complete copy, unless a later one is.
func (s *Stager) setReady(c *weightsCopy) {
	for {
		before := s.ready.Load()
		if before != nil && before.manifest.model == c.manifest.model && before.manifest.version >= c.manifest.version {
			return
		}
		if s.ready.CompareAndSwap(before, c) {
			s.wakeLoop()
			return
		}
	}
}

// isExchanging tells whether chunks come or go over the VM's link.
func (s *Stager) isExchanging() bool { return s.downloading.Load() != 0 || len(s.uploads) > 0 }

func (s *Stager) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.ReadReport(ctx, s.settings.Engine())
}

func completeVersion(holdings []registry.Holding, model string, layers int) uint64 {
	return registry.NewRegistration("", "", "", "", "", 0, registry.Ready, 0, holdings, 0, 0).Version(model, layers)
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
