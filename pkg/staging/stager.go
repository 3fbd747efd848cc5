// ================================================================
// The stager process and its control loop, which compares the version that the engine serves with
// the newest named version and replaces it where needed.
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
	// idleInterval is the time between checks of an engine that serves the newest named version,
	// and busyInterval of one that does not.
	idleInterval = time.Second
	busyInterval = 100 * time.Millisecond
	// engineTimeout bounds a call to the engine.
	engineTimeout = 2 * time.Second
	// maxStagerUploads bounds the concurrent uploads of a stager: the engine's traffic shares the
	// VM's link.
	maxStagerUploads = 2
	// goMemoryShare is the share of the process's memory limit that is set as the Go runtime's soft
	// limit.
	goMemoryShare = 0.6
)

// Stager is one stager process: a member whose VM runs an engine.
type Stager struct {
	*Member
	settings      settings.Stager
	seeds         *daemon.Reloadable[[]string]
	servedVersion atomic.Uint64 // the version that the engine served at the last check
	// ready is the newest complete copy, downloading the version that is being downloaded, and
	// staged the copy that is written to the engine's staging area; nil before the first. Only the
	// control loop uses staged.
	ready       atomic.Pointer[weightsCopy]
	downloading atomic.Uint64
	staged      *stagedCopy
	// sound is the newest load that is known to be sound, nil before the first report, and unchangedAt
	// when the reading of the last report began by which the engine had taken no order since. Only the
	// control loop changes them.
	sound        atomic.Pointer[engineLoad]
	unchangedAt  time.Duration
	refusedFence refusedFence // the last order that the engine refused for its fencing token
	// draining is set while the engine must get no new requests although it has no order yet.
	// loadChanged triggers an immediate load report.
	draining    atomic.Bool
	loadChanged chan struct{}
	suspension  *suspension.Watch
	// now reads a clock that includes suspensions, by which the ages of verifications are measured.
	now func() time.Duration
	// reportCache and reservations serve the gateways' slot reservations.
	reportCache  reportCache
	reservations reservation.Controller
}

// New returns a stager that is not running yet. path is its settings file, which is read again on a
// reload; it may be empty.
func New(c settings.Stager, path string, protocol Protocol, hooks daemon.Hooks) (*Stager, error) {
	debug.SetMemoryLimit(int64(float64(c.Memory()) * goMemoryShare))
	process, err := daemon.New(c.Common(), vm.NewIncarnation(), hooks)
	if err != nil {
		return nil, err
	}
	s := &Stager{settings: c, loadChanged: make(chan struct{}, 1), suspension: suspension.New()}
	s.now = s.suspension.Elapsed
	s.seeds = daemon.NewSeeds(path, c, settings.LoadStager, process.Logger)
	hello := feed.NewHello(feed.RoleStager, process.Identity, c.Service(), c.Engine(), nil, false)
	seeds := func() []string { return link.WithPortOf(s.seeds.Get(), process.Identity.Address()) }
	s.Member = newMember(process, protocol, hello, seeds, maxStagerUploads)
	s.rolloutLimit = c.RolloutLimit()
	s.suspension.OnResume(s.versions.AddSuspension)
	s.checkSuspension = s.suspension.Check
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

// Run runs the stager until it receives a signal or one of its tasks fails.
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
	add(s.process.ServeMetrics)
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

// reconcileLoop runs reconcile until the context ends.
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

// reconcile does one step towards serving the newest named version and returns the time until the
// next step.
func (s *Stager) reconcile(ctx context.Context) time.Duration {
	model, service, ok := s.model()
	if !ok {
		return busyInterval
	}
	began := s.now()
	report, err := s.report(ctx)
	if err != nil {
		// The engine is down, and it serves no version after its restart.
		return idleInterval
	}
	s.observe(report, model, began)
	if !report.Busy && !s.isSound(report, model) {
		if !s.hasNewerCopy(model, report) {
			return s.recheckLoad(ctx, model, report, service)
		}
		// The next order replaces the load, which serves nothing until then.
		report.Holdings = nil
	}
	want := s.newestNamed(model)
	served := completeVersion(report.Holdings, model, layerCount(service))
	s.metrics.version.Set(float64(served))
	s.servedVersion.Store(served)
	if served >= want.Version() {
		return idleInterval
	}
	s.startDownload(ctx, model, s.target(model, served))
	c := s.ready.Load()
	if c == nil || c.manifest.model != model || c.manifest.version <= served || report.Busy {
		return busyInterval
	}
	if s.refusedFence.blocks(c.manifest.version, report) {
		return idleInterval
	}
	return s.activate(ctx, c, report, s.nextDue(model, served), service)
}

// startDownload downloads a version concurrently with the control loop, since an earlier version
// whose copy is complete may be due first.
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

// setReady records a complete copy, unless a later one is recorded already.
func (s *Stager) setReady(c *weightsCopy) {
	for {
		previous := s.ready.Load()
		if previous != nil && previous.manifest.model == c.manifest.model && previous.manifest.version >= c.manifest.version {
			return
		}
		if s.ready.CompareAndSwap(previous, c) {
			s.wakeLoop()
			return
		}
	}
}

// isExchanging reports whether chunks are downloaded or uploaded over the VM's link.
func (s *Stager) isExchanging() bool { return s.downloading.Load() != 0 || len(s.uploads) > 0 }

// report reads the state of the engine.
func (s *Stager) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.protocol.ReadReport(ctx, s.settings.Engine())
}

// completeVersion returns the newest version of a model of which the holdings include all layers; 0
// if there is none.
func completeVersion(holdings []registry.Holding, model string, layers int) uint64 {
	return registry.NewRegistration("", "", "", "", "", 0, registry.Ready, 0, holdings, 0, 0).Version(model, layers)
}

// model returns the model that this engine is configured to serve, and its service.
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
