// ================================================================
// The gateway process: assembles its parts, follows the control nodes, serves callers and stops
// gracefully.
//
// It keeps no durable state. It learns the configuration and the backend servers anew at each
// start, and continues with what it knows while no control node is reachable.
// ================================================================

package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/reservation"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/suspension"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 30 * time.Second
	maxHeader     = 16 << 10
	sweepInterval = 2 * time.Second
	// goMemoryShare is the share of the process's memory that is set as the Go runtime's memory
	// limit.
	goMemoryShare = 0.7
	// assumedGateways is the number of gateways assumed to share the retry reserve until a
	// control node reports one.
	assumedGateways = 8
)

// Gateway is one gateway process.
type Gateway struct {
	settings     settings.Gateway
	seeds        *daemon.Reloadable[[]string]
	process      *daemon.Process
	protocol     Protocol
	follower     *feed.Follower
	backends     *backends
	versions     *feed.VersionTable
	placement    placement.Rules
	watchdogs    *watchdogSet
	gatewayCount gatewayCounter
	budget       *retryBudget
	demand       demand
	// quarantine records the requests and parts of prompts during which backend servers crashed.
	quarantine *quarantine.Table
	// publishRecords sends new quarantine records to the control nodes, and reportLimiters
	// bound how many a second.
	publishRecords func(records []quarantine.Record)
	reportLimiters reportLimiters
	// crashProbeWait returns how long an attempt waits to learn whether its backend server crashed.
	crashProbeWait func(knownCrashes int) time.Duration
	// requestTrial asks for permission to try a quarantined request once more under the name tester,
	// and trialLimiter bounds how often.
	requestTrial func(f quarantine.Fingerprint)
	tester       string
	trialLimiter *rate.Limiter
	// limitOwners are the gateways that own the rate limits of backend servers.
	limitOwners *owners
	// limitLogLimiter bounds the log lines about limits of backend servers.
	limitLogLimiter  *rate.Limiter
	returningCallers returningCallers
	promptLengths    promptLengths
	silenceDetector  silenceDetector
	// demandByDomain returns the requests for engines that all gateways receive per second, by
	// failure domain.
	demandByDomain func() map[string]float64
	// askStager asks the stager at a link address to reserve a slot at its engine.
	askStager func(ctx context.Context, address string, a reservation.Request) (reservation.Response, error)
	// askLender asks the gateway at a link address for a retry from its budget, and nextBorrow
	// is the earliest time to ask again.
	askLender  func(ctx context.Context, address string, a contract.RetryLoanRequest) (contract.RetryLoanResponse, error)
	nextBorrow atomicTime
	metrics    *metrics
	suspension *suspension.Watch

	index          serviceconfig.Current
	stop           *gracefulStop
	connections    connections
	callerListener atomic.Pointer[callersListener] // nil until the gateway listens
	runContext     context.Context                 // ends when Run returns
	activeRequests atomic.Int64                    // requests in flight
}

// New returns a gateway that is not running yet. settingsPath is its settings file, which is
// read again on a reload; it may be empty. hooks replace the environment in tests.
func New(s settings.Gateway, settingsPath string, protocol Protocol, hooks daemon.Hooks) (*Gateway, error) {
	debug.SetMemoryLimit(int64(float64(s.Memory()) * goMemoryShare))
	process, err := daemon.New(s.Common(), vm.NewIncarnation(), hooks)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: s, process: process, protocol: protocol, runContext: context.Background(),
		backends: newBackends(), versions: feed.NewVersionTable(), watchdogs: newWatchdogSet(),
		suspension: suspension.New(), stop: newGracefulStop(),
		budget:     newRetryBudget(s.RetryRatio(), s.RetryReserve(), s.RetryWindow()),
		metrics:    newMetrics(process.Registry),
		quarantine: quarantine.NewTable(nil), reportLimiters: newReportLimiters(),
		tester: quarantine.TesterID(process.Identity), trialLimiter: rate.NewLimiter(trialRequestRate, 1),
		limitLogLimiter: rate.NewLimiter(limitLogRate, limitLogBurst),
		placement:       placement.Rules{Regions: s.Regions, Evacuations: &placement.Evacuations{}},
	}
	g.seeds = daemon.NewSeeds(settingsPath, s, settings.LoadGateway, process.Logger)
	g.follower = &feed.Follower{
		Endpoint:       process.Endpoint,
		Hello:          feed.NewHello(feed.RoleGateway, process.Identity, "", "", nil, false),
		Seeds:          func() []string { return link.WithPortOf(g.seeds.Get(), process.Identity.Address()) },
		DocumentNumber: g.index.Number,
		OnUpdate:       g.applyUpdate,
		NamedVersions:  func() []feed.NamedVersion { return g.versions.Current(time.Now()) },
		Records:        g.quarantine.Records,
		Logger:         process.Logger,
	}
	g.crashProbeWait = probeWaitAfter
	g.publishRecords, g.requestTrial = g.follower.ReportRecords, g.follower.RequestTrial
	g.suspension.OnResume(g.onResume)
	g.suspension.OnResume(process.LogSuspension)
	g.demandByDomain = g.follower.Demands
	g.askStager = g.callStager
	g.askLender = g.callLender
	g.limitOwners = g.newOwners()
	process.Endpoint.Handle(link.KindPermit, g.servePermit)
	process.Endpoint.Handle(link.KindPermitReport, g.servePermitReport)
	process.Endpoint.Handle(link.KindRetryLoan, g.serveRetryLoan)
	return g, nil
}

// applyUpdate applies an update from a control node. An older configuration than the current
// one is ignored.
func (g *Gateway) applyUpdate(address string, u feed.Update) {
	// Ages that arrive after the VM has resumed include the suspension, so it is added to the others first.
	g.suspension.Check()
	for _, r := range u.Registrations() {
		if g.backends.applyRegistration(r) {
			_ = level.Info(g.process.Logger).Log("msg", "backend server leaves", "backend", r.Incarnation(), "service", r.Service(), "state", string(r.State()), "from", address)
		}
	}
	for _, l := range u.Loads() {
		g.backends.applyLoadReport(l)
	}
	if changes := g.versions.Merge(u.NamedVersions(), time.Now()); len(changes) > 0 {
		feed.LogVersionChanges(g.process.Logger, changes, string(feed.RoleNode), address)
		g.watchdogs.checkNow()
	}
	g.mergeEvacuations(u.Evacuations(), address)
	g.mergeRecords(u.Records())
	g.inheritBudget(u.RetryUsage())
	d := u.Document()
	if d == nil || !g.index.Advance(*d) {
		return
	}
	g.metrics.configNumber.Set(float64(g.index.Number()))
	_ = level.Info(g.process.Logger).Log("msg", "configuration in force", "number", d.Number(), "routes", len(d.Routes()), "from", address)
}

// onResume adds the duration of a VM suspension to the ages of versions and of reported loads.
// Waiting attempts check at once whether they may continue.
func (g *Gateway) onResume(suspended time.Duration) {
	g.versions.AddSuspension(suspended)
	g.backends.each(func(b *backend, _ string) { b.ageLoadReport(suspended) })
	g.watchdogs.checkNow()
}

// countGateways returns how many gateways share the retry budget.
func (g *Gateway) countGateways() int {
	if n := g.gatewayCount.update(g.follower.Gateways(), time.Now(), g.settings.RetryWindow()); n > 0 {
		return n
	}
	return assumedGateways
}

func (g *Gateway) random() float64 { return rand.Float64() }

// Run runs the gateway until a signal, and then until the requests in flight have ended.
func (g *Gateway) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer g.process.Endpoint.Close()
	g.runContext = ctx
	g.process.LogStart()
	server := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: daemon.HTTPLog(g.process.Logger), ConnState: g.connections.trackState,
	}
	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error {
		return g.process.ServeLinks(ctx, g.settings.Common().PeersListen())
	})
	add(g.process.ServeMetrics)
	add(func(ctx context.Context) error { return g.serveCallers(ctx, server) })
	add(g.serveReadiness)
	add(g.follower.Run)
	add(g.sweep)
	add(g.reportDemand)
	add(g.seeds.Run)
	add(g.suspension.Run)
	add(func(ctx context.Context) error { return g.awaitStop(ctx, signals) })
	err := group.Run()
	g.process.LogStop(err)
	return err
}

func (g *Gateway) serveCallers(ctx context.Context, server *http.Server) error {
	l, err := g.process.Listen(g.settings.Listen())
	if err != nil {
		return err
	}
	callers := &callersListener{Listener: l}
	g.callerListener.Store(callers)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(netutil.LimitListener(callers, g.settings.MaxConnections()))
	if err != http.ErrServerClosed && !callers.stopping.Load() {
		return err
	}
	<-ctx.Done()
	return nil
}

func (g *Gateway) sweep(ctx context.Context) error {
	return daemon.Every(ctx, sweepInterval, func() {
		g.backends.sweep()
		g.quarantine.Sweep()
		g.limitOwners.sweep()
		requests, parts := g.quarantine.CountQuarantined()
		g.metrics.quarantined.Set(float64(requests))
		g.metrics.quarantinedParts.Set(float64(parts))
		g.metrics.limitedServers.Set(float64(g.limitedBackends()))
	})
}

// ----------------------------------------------------------------
// Readiness

func (g *Gateway) serveReadiness(ctx context.Context) error {
	l, err := g.process.Listen(g.settings.ReadyListen())
	if err != nil {
		return err
	}
	router := chi.NewRouter()
	router.Get(g.protocol.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if g.stop.isDraining() || g.index.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		daemon.Healthy(w, nil)
	})
	return daemon.ServeHTTP(ctx, &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: daemon.HTTPLog(g.process.Logger),
	}, l)
}
