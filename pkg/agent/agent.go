// ================================================================
// The agent: the one process in the slot of a backend server VM, and the only
// door to the engine and the plain services there.
//
//	config  -> assignments -> copier (chunks) -> loader (orders) -> ready
//	request -> checks at the moment of execution -> engine -> answer
//
// Each part has a file of its own; this one puts them together.
// ================================================================

// Package agent runs on each backend server VM: it holds and spreads weights,
// gives the engine its fenced orders, and admits requests.
package agent

import (
	"context"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/run"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failuredomain"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
	"github.com/tidepost/tidepost/pkg/weights"
)

const (
	weightsFolder = "weights"
	configFile    = "config"
	// chunkBurst is what the pacing of chunks lets through at once, in bytes.
	chunkBurst = 256 << 10
)

// Agent is one agent process.
type Agent struct {
	settings settings.Agent
	seams    Seams
	process  *daemon.Process
	folder   *disk.Folder
	state    *configstate.State
	store    *weights.Store
	copies   *copyTable
	loader   *loader
	gate     *gate
	services map[string]*engine.Engine
	engine   *engine.Engine
	download *rate.Limiter
	upload   *rate.Limiter
	uploads  chan struct{}
	traffic  traffic
	metrics  *metrics

	changed chan struct{}
	drained chan string
}

// Seams are where a test replaces what lies outside of the process. The zero
// value is the real outside.
type Seams struct {
	daemon.Seams
	// Engine is the model engine; by the settings when nil.
	Engine *engine.Engine
	// Services are the plain services; by the settings when nil.
	Services map[string]*engine.Engine
	// Draw reads a chunk from a source.
	Draw func(ctx context.Context, url string, a configstate.Assignment, chunk int) ([]byte, error)
	// SendAnswer sends one part of an answer to an entry.
	SendAnswer func(send func(contract.Answer) error, part contract.Answer) error
	// Faults leave safeguards out.
	Faults Faults
}

// Faults are seeded faults, to show that a proof notices them. The zero value
// has none.
type Faults struct {
	// SkipVerify stores chunks whatever their digest.
	SkipVerify bool
	// SkipPin serves a request with whatever version is loaded.
	SkipPin bool
	// ForgetAttempts runs an attempt as often as it comes.
	ForgetAttempts bool
	// DrainAtOnce leaves without waiting for what is in flight.
	DrainAtOnce bool
	// SkipQuiet gives orders right after a restart.
	SkipQuiet bool
	// TakeWhileDraining goes on taking requests.
	TakeWhileDraining bool
}

// New returns an agent that is not running yet.
func New(s settings.Agent, seams Seams) (*Agent, error) {
	if seams.SendAnswer == nil {
		seams.SendAnswer = func(send func(contract.Answer) error, part contract.Answer) error { return send(part) }
	}
	if seams.Draw == nil {
		seams.Draw = drawOverHTTP
	}
	folder, err := disk.NewFolder(s.Common().DataFolder())
	if err != nil {
		return nil, err
	}
	_, err = folder.Read(fenceFile)
	fresh := os.IsNotExist(err)
	incarnation, err := controllog.Identity(folder)
	if err != nil {
		return nil, err
	}
	process, err := daemon.New(s.Common(), incarnation, seams.Seams)
	if err != nil {
		return nil, err
	}
	store, err := weights.NewStore(filepath.Join(s.Common().DataFolder(), weightsFolder))
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: s,
		seams:    seams,
		process:  process,
		folder:   folder,
		state:    configstate.NewState(),
		store:    store,
		copies:   newCopyTable(process.Recorder),
		services: map[string]*engine.Engine{},
		download: rate.NewLimiter(rate.Limit(s.ChunkRate()), chunkBurst),
		upload:   rate.NewLimiter(rate.Limit(s.ChunkRate()), chunkBurst),
		uploads:  make(chan struct{}, s.Uploads()),
		metrics:  newMetrics(process.Registry),
		changed:  make(chan struct{}, 1),
		drained:  make(chan string, 1),
	}
	store.SkipVerify = seams.Faults.SkipVerify
	a.gate = newGate(s.MaxInFlight())
	a.gate.forget, a.gate.takeDraining = seams.Faults.ForgetAttempts, seams.Faults.TakeWhileDraining
	a.connectBackends()
	a.loader = newLoader(a, fresh)
	a.restoreConfig()
	a.state.OnChange(func(contract.Delta) { a.onConfig() })
	a.handleLinks()
	return a, nil
}

// connectBackends finds the engine and the services on this VM.
func (a *Agent) connectBackends() {
	for name, url := range a.settings.Services() {
		a.services[name] = engine.NewHTTP(url)
	}
	if a.settings.EngineURL() != "" {
		a.engine = engine.NewHTTP(a.settings.EngineURL())
	}
	for name, service := range a.seams.Services {
		a.services[name] = service
	}
	if a.seams.Engine != nil {
		a.engine = a.seams.Engine
	}
}

func (a *Agent) handleLinks() {
	e := a.process.Endpoint
	e.Handle(link.KindRequest, a.serveRequest)
	e.Handle(link.KindChunk, a.serveChunk)
	e.Handle(link.KindDrain, a.serveDrain)
	e.HandleTopic(link.KindSubscribe, bus.TopicHave, a.serveHave)
}

// Run runs the agent until it is drained by a signal or an operator.
func (a *Agent) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer a.process.Endpoint.Close()
	defer func() { _ = a.folder.Close() }()
	a.process.Recorder.Record(event.ProcessStarted, string(a.process.Identity.ID()), a.process.Identity.Address())
	defer a.process.Recorder.Record(event.ProcessStopped, string(a.process.Identity.ID()), "")

	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error { return a.process.ServeLinks(ctx, a.settings.Common().PeersListen()) })
	add(a.process.ServeObserve)
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

// ----------------------------------------------------------------
// Configuration

func (a *Agent) follower() *configstate.Follower {
	return &configstate.Follower{
		Endpoint:  a.process.Endpoint,
		State:     a.state,
		Addresses: func() []string { return a.rankedEntries("config") },
		Heard:     func(bool) {},
	}
}

// rankedEntries returns the entries in the order that this agent prefers them
// for a subject; agents spread over the entries by it.
func (a *Agent) rankedEntries(subject string) []string {
	entries := append([]string(nil), a.settings.Entries()...)
	sort.Slice(entries, func(i, j int) bool {
		return failuredomain.Rank(subject, entries[i]) > failuredomain.Rank(subject, entries[j])
	})
	return entries
}

// restoreConfig puts the configuration in force that was so before a restart,
// so that an agent that is cut off goes on, and never goes back.
func (a *Agent) restoreConfig() {
	raw, err := a.folder.Read(configFile)
	if err != nil {
		return
	}
	var d contract.Delta
	if err := msgpack.Unmarshal(raw, &d); err != nil {
		_ = level.Warn(a.process.Logger).Log("msg", "stored configuration cannot be read; waiting for an entry's", "err", err)
		return
	}
	a.state.ApplyDelta(d)
}

// onConfig stores the configuration and wakes the reconciler.
func (a *Agent) onConfig() {
	if d, ok := a.state.Since(0); ok {
		if raw, err := msgpack.Marshal(d); err == nil {
			if err := a.folder.Replace(configFile, raw); err != nil {
				_ = level.Error(a.process.Logger).Log("msg", "configuration not stored", "err", err)
			}
		}
	}
	a.process.Recorder.Record(event.ConfigApplied, string(a.process.Identity.ID()), revisionText(a.state.Revision()))
	a.wake()
}

func (a *Agent) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// labels returns the labels in force on this VM.
func (a *Agent) labels() vm.Labels {
	return a.state.View().LabelsOf(a.process.Identity.ID(), a.settings.Labels())
}

// reconcileEvery bounds how long a missed wake-up can go unnoticed.
const reconcileEvery = time.Second

// reconcile starts and ends copies as the configuration says.
func (a *Agent) reconcile(ctx context.Context) error {
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	running := map[contract.Digest]context.CancelFunc{}
	for {
		a.reconcileOnce(ctx, running)
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		case <-ticker.C:
		}
	}
}

func (a *Agent) reconcileOnce(ctx context.Context, running map[contract.Digest]context.CancelFunc) {
	view := a.state.View()
	wanted := map[contract.Digest]configstate.Assignment{}
	for _, assignment := range view.Assignments(a.labels()) {
		if old, ok := wanted[assignment.Digest]; !ok || old.Role != contract.RoleServe {
			wanted[assignment.Digest] = assignment
		}
	}
	for digest, assignment := range wanted {
		a.copies.want(assignment)
		if running[digest] == nil {
			copyContext, cancel := context.WithCancel(ctx)
			running[digest] = cancel
			go a.copyLoop(copyContext, assignment)
		}
	}
	for digest, cancel := range running {
		if _, ok := wanted[digest]; !ok {
			cancel()
			delete(running, digest)
			a.copies.unwant(digest)
		}
	}
	a.loader.wake()
	a.evict(view, wanted)
}

// evict removes the copies that no configuration names any more. What a group
// elsewhere carries stays: it may be asked of us, or come back.
func (a *Agent) evict(view *configstate.View, wanted map[contract.Digest]configstate.Assignment) {
	if view.Revision() == 0 {
		return
	}
	for _, digest := range a.copies.evictable() {
		if _, known := view.Manifest(digest); known {
			continue
		}
		a.removeCopy(digest)
	}
	leftovers, err := a.store.Leftovers()
	if err != nil {
		return
	}
	for _, digest := range leftovers {
		_, inUse := wanted[digest]
		if _, known := view.Manifest(digest); !known && !inUse {
			_ = a.store.RemoveLeftover(digest)
		}
	}
}

func (a *Agent) removeCopy(digest contract.Digest) {
	if err := a.store.Remove(digest); err != nil {
		_ = level.Error(a.process.Logger).Log("msg", "copy not removed", "digest", digest.Short(), "err", err)
		return
	}
	a.copies.forget(digest)
	a.process.Recorder.Record(event.CopyRemoved, digest.Short(), "no configuration names it")
}

// Revision returns the configuration revision in force here.
func (a *Agent) Revision() uint64 { return a.state.Revision() }
