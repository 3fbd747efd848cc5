// ================================================================
// The agent process of a backend server VM. All requests to the engine and to the
// plain services on the VM go through it.
//
//	config  -> assignments -> copier (chunks) -> loader (orders) -> ready
//	request -> admission at the time of execution -> engine -> response
//
// This file creates and runs the parts.
// ================================================================

// Package agent implements the process that runs on each backend server VM: it stores
// weights and serves them to other agents, sends the engine its orders with fencing
// tokens, and admits requests.
package agent

import (
	"context"
	"os"
	"path/filepath"

	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/weights"
)

const (
	weightsFolder = "weights"
	configFile    = "config"
	// chunkRateBurst is the burst size of the chunk rate limiters, in bytes.
	chunkRateBurst = 256 << 10
)

// Agent is one agent process.
type Agent struct {
	settings  settings.Agent
	hooks     Hooks
	process   *daemon.Process
	folder    *disk.Folder
	state     *configstate.State
	store     *weights.Store
	copies    *copyTable
	loader    *loader
	admission *admission
	services  map[string]*engine.Engine
	engine    *engine.Engine
	download  *rate.Limiter
	upload    *rate.Limiter
	uploads   chan struct{}
	traffic   traffic
	metrics   *metrics
	// sweptRevision is the configuration revision at which unopened copies were last
	// removed. Only the reconciler uses it.
	sweptRevision uint64

	configChanged chan struct{}
	drain         *daemon.Drain
}

// Hooks replace the environment of the process in tests. The zero value selects the
// real environment.
type Hooks struct {
	daemon.Hooks
	// Engine is the model engine. If nil, the settings select it.
	Engine *engine.Engine
	// Services are plain services by name. They take precedence over the settings.
	Services map[string]*engine.Engine
	// FetchFromSource fetches a chunk from the source with the given URL.
	FetchFromSource func(ctx context.Context, url string, a configstate.Assignment, chunk int) ([]byte, error)
	// SendResponsePart sends one part of a response to an entry.
	SendResponsePart func(send func(contract.ResponsePart) error, part contract.ResponsePart) error
	// Faults disable safeguards.
	Faults Faults
}

// Faults disable safeguards, so that a test can verify that it detects the resulting
// failures. The zero value disables none.
type Faults struct {
	// SkipVerify stores chunks without verifying their digests.
	SkipVerify bool
	// SkipDrainWait exits without waiting for requests in flight.
	SkipDrainWait bool
	// SkipOrderWait sends orders right after a restart, even if an earlier order may
	// still be executing.
	SkipOrderWait bool
	// AdmitWhileDraining admits requests while the agent drains.
	AdmitWhileDraining bool
}

// New returns an agent. Run starts it.
func New(s settings.Agent, hooks Hooks) (*Agent, error) {
	if hooks.SendResponsePart == nil {
		hooks.SendResponsePart = func(send func(contract.ResponsePart) error, part contract.ResponsePart) error { return send(part) }
	}
	if hooks.FetchFromSource == nil {
		hooks.FetchFromSource = fetchFromSourceOverHTTP
	}
	folder, err := disk.NewFolder(s.Common().DataFolder())
	if err != nil {
		return nil, err
	}
	_, err = folder.Read(fenceFile)
	newFolder := os.IsNotExist(err)
	incarnation, err := controllog.LoadOrCreateIncarnation(folder)
	if err != nil {
		return nil, err
	}
	process, err := daemon.New(s.Common(), incarnation, hooks.Hooks)
	if err != nil {
		return nil, err
	}
	store, err := weights.NewStore(filepath.Join(s.Common().DataFolder(), weightsFolder))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:      s,
		hooks:         hooks,
		process:       process,
		folder:        folder,
		state:         configstate.NewState(),
		store:         store,
		copies:        newCopyTable(process.Recorder),
		services:      map[string]*engine.Engine{},
		download:      rate.NewLimiter(rate.Limit(s.ChunkRate()), chunkRateBurst),
		upload:        rate.NewLimiter(rate.Limit(s.ChunkRate()), chunkRateBurst),
		uploads:       make(chan struct{}, s.MaxUploads()),
		metrics:       newMetrics(process.Registry),
		configChanged: make(chan struct{}, 1),
		drain:         process.NewDrain(),
	}
	store.SkipVerify = hooks.Faults.SkipVerify
	a.admission = newAdmission(s.MaxInFlight())
	a.admission.admitWhileDraining = hooks.Faults.AdmitWhileDraining
	a.connectBackends()
	a.loader = newLoader(a, newFolder)
	a.restoreConfig()
	a.state.OnChange(func(contract.Delta) { a.onConfigChange() })
	a.registerHandlers()
	return a, nil
}

// connectBackends creates the clients of the engine and the services on this VM.
func (a *Agent) connectBackends() {
	for name, url := range a.settings.Services() {
		a.services[name] = engine.NewHTTP(url)
	}
	if a.settings.EngineURL() != "" {
		a.engine = engine.NewHTTP(a.settings.EngineURL())
	}
	for name, service := range a.hooks.Services {
		a.services[name] = service
	}
	if a.hooks.Engine != nil {
		a.engine = a.hooks.Engine
	}
}

func (a *Agent) registerHandlers() {
	e := a.process.Endpoint
	e.Handle(link.KindRequest, a.serveRequest)
	e.Handle(link.KindChunk, a.serveChunk)
	e.Handle(link.KindDrain, a.serveDrain)
	e.HandleTopic(link.KindSubscribe, bus.TopicHave, a.serveAnnouncements)
}

// Run runs the agent until a signal or an operator has drained it.
func (a *Agent) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer a.process.Endpoint.Close()
	defer func() { _ = a.folder.Close() }()
	a.process.Recorder.Record(event.ProcessStarted, string(a.process.Identity.ID()), a.process.Identity.Address())
	defer a.process.CloseLog()
	defer a.process.Recorder.Record(event.ProcessStopped, string(a.process.Identity.ID()), "")

	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error { return a.process.ServeLinks(ctx, a.settings.Common().PeersListen()) })
	add(a.process.ServeMetrics)
	add(a.process.Bus.Run)
	add(a.follower().Run)
	add(a.sendHeartbeats)
	add(a.reconcile)
	add(a.loader.run)
	add(func(ctx context.Context) error { return a.waitDrain(ctx, signals) })
	err := group.Run()
	a.process.Bus.Close()
	return err
}
