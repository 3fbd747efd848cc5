// ================================================================
// The node: puts the parts together and runs them until a signal.
// ================================================================

package control

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"
	"golang.org/x/net/netutil"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/quarantine"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/staging"
	"github.com/tidepost/tidepost/pkg/suspension"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	// MaxDocument bounds an operator's document, in bytes.
	MaxDocument = 8 << 20

	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeader      = 16 << 10
	maxConnections = 1024
	// callsAtStop is how long a planned stop waits for calls: a change is agreed within some
	// 100 ms, and one that finds no quorum is not worth more of the time of the stop.
	callsAtStop = 2 * time.Second
	// goMemoryShare of the process's memory is the collector's limit.
	goMemoryShare = 0.7
)

// Protocol is what operators and backend servers speak.
type Protocol struct {
	// Name is how settings name it.
	Name string
	// Mount adds the protocol's calls to a router.
	Mount func(r chi.Router, s *Service)
}

// Seams are where a test replaces what lies outside of the process.
type Seams struct {
	daemon.Seams
	// Folder opens the data folder; the settings' folder when nil.
	Folder func() (*disk.Folder, error)
}

// Node is one control node.
type Node struct {
	settings   settings.Control
	seeds      *daemon.Reloaded[[]string]
	process    *daemon.Process
	protocol   Protocol
	member     *member
	service    *Service
	others     *feed.Follower // follows the other control nodes
	suspension *suspension.Watch
	keeper     *keeper
	calls      *http.Server
	cache      *staging.Cache // nil where the settings ask for none
}

// weightsFolder is the folder of the weights cache in the data folder.
const weightsFolder = "weights"

// New returns a node that is not running yet. path is its settings file, read
// again on a reload; it may be empty. origin is what the origin of weights
// speaks; nil where no weights are kept.
func New(s settings.Control, path string, protocol Protocol, origin *staging.Protocol, seams Seams) (*Node, error) {
	debug.SetMemoryLimit(int64(float64(s.Memory()) * goMemoryShare))
	process, err := daemon.New(s.Common().WithoutDataFolder(), vm.NewIncarnation(), seams.Seams)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, process: process, protocol: protocol, suspension: suspension.New()}
	n.seeds = daemon.NewSeeds(path, s, settings.LoadControl, process.Logger)
	n.service = &Service{
		registry: registry.NewTable(nil), quarantine: quarantine.NewTable(nil), endpoint: process.Endpoint, logger: process.Logger,
		metrics: newMetrics(process.Registry),
	}
	n.service.state = NewState(n.changed)
	n.service.state.noted = func(moves []feed.VersionChange, source, from string) {
		feed.LogVersionChanges(process.Logger, moves, source, from)
	}
	n.service.publisher = feed.NewPublisher(feed.Source{
		Self:            process.Identity,
		DocumentNumber:  n.service.state.Number,
		Document:        n.service.state.Document,
		Versions:        n.service.state.Weights,
		OnHello:         n.learnFrom,
		Registrations:   n.service.registry.All,
		Records:         n.service.quarantine.Records,
		OnRecords:       n.service.learnRecords,
		OnTrialRequest:  n.service.askTrial,
		Nodes:           func() []string { return n.member.nodes() },
		QuorumConfirmed: func() bool { return n.member.confirmed() },
	})
	n.calls = n.newCalls()
	n.keeper = &keeper{table: n.service.quarantine, learn: n.service.learnRecords, logger: process.Logger}
	n.service.barredChanged = n.keeper.note
	n.member = newMember(n.memberConfig(seams))
	n.service.member = n.member
	n.others = n.newOthers()
	n.suspension.OnResume(n.service.state.suspended)
	n.suspension.OnResume(n.member.suspended)
	n.suspension.OnResume(process.LogSuspension)
	process.Endpoint.Handle(link.KindControlLog, n.member.serveMessages)
	process.Endpoint.Handle(link.KindJoin, n.member.serveJoin)
	process.Endpoint.Handle(link.KindControlCall, n.service.serveCall)
	process.Endpoint.Handle(link.KindFeed, n.service.publisher.Serve)
	if origin != nil && s.Cache() {
		n.cache = staging.NewCache(process, *origin, n.seedLinks, func() (*disk.Folder, error) {
			return disk.NewFolder(filepath.Join(s.Common().DataFolder(), weightsFolder))
		})
	}
	return n, nil
}

// seedLinks returns the link addresses of the seeds.
func (n *Node) seedLinks() []string {
	return link.WithPortOf(n.seeds.Get(), n.process.Identity.Address())
}

func (n *Node) memberConfig(seams Seams) memberConfig {
	open := seams.Folder
	if open == nil {
		open = func() (*disk.Folder, error) { return disk.NewFolder(n.settings.Common().DataFolder()) }
	}
	own := n.process.Identity
	return memberConfig{
		identity: func(incarnation uint64) vm.Identity {
			return vm.NewIdentity(own.ID(), incarnation, own.Region(), own.Domain(), own.Address())
		},
		open: open, opened: n.keeper.use, closing: n.keeper.leave, endpoint: n.process.Endpoint, machine: n.service.state.StateMachine(),
		record: n.record, logger: n.process.Logger,
		seeds:     n.seedLinks,
		bootstrap: n.settings.Bootstrap(), tolerate: n.settings.Tolerate(),
	}
}

// record notes an event and has changes of the voters told.
func (n *Node) record(kind event.Kind, subject, detail string) {
	n.process.Recorder.Record(kind, subject, detail)
	_ = level.Info(n.process.Logger).Log("msg", string(kind), "subject", subject, "detail", detail)
	if kind == event.VoterChanged {
		n.service.publisher.NodesChanged()
	}
}

// changed has a new document or version told.
func (n *Node) changed() {
	n.service.metrics.number.Set(float64(n.service.state.Number()))
	n.service.publisher.NotifyChange()
}

// Run runs the node until a signal.
func (n *Node) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.process.Endpoint.Close()
	n.process.LogStart()
	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(func(ctx context.Context) error {
		return n.process.ServeLinks(ctx, n.settings.Common().PeersListen())
	})
	add(n.process.ServeObserve)
	add(n.serveCalls)
	add(n.member.run)
	if n.cache != nil {
		add(n.cache.Run)
	}
	add(n.others.Run)
	add(n.suspension.Run)
	add(n.keeper.run)
	add(n.sweep)
	add(n.retell)
	add(n.seeds.Run)
	add(func(ctx context.Context) error { return n.waitStop(ctx, signals) })
	err := group.Run()
	n.process.LogStop(err)
	return err
}

// newCalls returns the server of the calls of operators and backend servers.
func (n *Node) newCalls() *http.Server {
	router := chi.NewRouter()
	n.protocol.Mount(router, n.service)
	return &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: daemon.HTTPLog(n.process.Logger),
	}
}

// serveCalls serves calls, and returns when the node ends: a planned stop ends the serving
// before that.
func (n *Node) serveCalls(ctx context.Context) error {
	l, err := n.process.Listen(n.settings.Listen())
	if err != nil {
		return err
	}
	if err := daemon.ServeHTTP(ctx, n.calls, netutil.LimitListener(l, maxConnections)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// waitStop waits for a signal, and then for the calls under way: an operator whose change
// was read, and may be in force, hears of it.
func (n *Node) waitStop(ctx context.Context, signals <-chan os.Signal) error {
	if err := daemon.WaitSignal(ctx, signals); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callsAtStop)
	defer cancel()
	if err := n.calls.Shutdown(ctx); err != nil {
		_ = level.Warn(n.process.Logger).Log("msg", "the stop closes calls under way", "err", err)
	}
	return nil
}

// Called returns the protocol's name.
func (p Protocol) Called() string { return p.Name }
