// ================================================================
// The control node as a process: it creates its components, connects them and runs them until a
// signal.
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
	// MaxDocument is the maximum size of an operator's document in bytes.
	MaxDocument = 8 << 20

	headerTimeout  = 3 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 16 << 10
	maxConnections = 1024
	// shutdownTimeout is how long a graceful shutdown waits for calls in progress. A change takes
	// about 100 ms to commit; one that finds no quorum must not delay the shutdown longer.
	shutdownTimeout = 2 * time.Second
	// goMemoryShare is the memory limit of the garbage collector as a share of the memory that
	// the settings allow the process.
	goMemoryShare = 0.7
)

// Protocol is an HTTP protocol for operators and backend servers.
type Protocol struct {
	// Name is the protocol's name in settings.
	Name string
	// Mount adds the protocol's routes to a router.
	Mount func(r chi.Router, s *Service)
}

// Hooks replace the external dependencies of the process in tests.
type Hooks struct {
	daemon.Hooks
	// OpenFolder opens the data folder; if nil, the folder from the settings is opened.
	OpenFolder func() (*disk.Folder, error)
}

// Node is one control node.
type Node struct {
	settings        settings.Control
	seeds           *daemon.Reloadable[[]string]
	process         *daemon.Process
	protocol        Protocol
	member          *member
	service         *Service
	nodeFollower    *feed.Follower // follows the other control nodes
	suspension      *suspension.Watch
	quarantineStore *quarantineStore
	server          *http.Server
	weightsCache    *staging.Cache // nil if the settings do not enable it
}

// weightsFolder is the folder of the weights cache in the data folder.
const weightsFolder = "weights"

// New returns a node that is not running yet. path is its settings file, which is read again on a
// reload; it may be empty. origin is the protocol of the origin of weights; nil disables the
// weights cache.
func New(s settings.Control, path string, protocol Protocol, origin *staging.Protocol, hooks Hooks) (*Node, error) {
	debug.SetMemoryLimit(int64(float64(s.Memory()) * goMemoryShare))
	process, err := daemon.New(s.Common().WithoutDataFolder(), vm.NewIncarnation(), hooks.Hooks)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, process: process, protocol: protocol, suspension: suspension.New()}
	n.seeds = daemon.NewSeeds(path, s, settings.LoadControl, process.Logger)
	n.service = &Service{
		registry: registry.NewTable(nil), quarantine: quarantine.NewTable(nil), endpoint: process.Endpoint, logger: process.Logger,
		metrics: newMetrics(process.Registry), regions: s.Regions(),
	}
	n.service.state = NewState(n.stateChanged)
	n.service.state.onVersionChanges = func(changes []feed.VersionChange, source, from string) {
		feed.LogVersionChanges(process.Logger, changes, source, from)
	}
	n.service.state.onEvacuations = n.evacuationsChanged
	n.service.state.onDepartures = n.service.receiveDepartures
	n.service.publisher = feed.NewPublisher(feed.PublisherConfig{
		Self:            process.Identity,
		DocumentNumber:  n.service.state.DocumentNumber,
		Document:        n.service.state.Document,
		NamedVersions:   n.service.state.NamedVersions,
		Evacuations:     n.service.state.Evacuations,
		OnHello:         n.mergeFollowerAges,
		Registrations:   n.service.registry.All,
		Records:         n.service.quarantine.Records,
		OnRecords:       n.service.mergeRecords,
		OnTrialRequest:  n.service.requestTrial,
		Nodes:           func() []string { return n.member.memberAddresses() },
		QuorumConfirmed: func() bool { return n.member.quorumConfirmed() },
	})
	n.server = n.newServer()
	n.quarantineStore = &quarantineStore{table: n.service.quarantine, mergeRecords: n.service.mergeRecords, logger: process.Logger}
	n.service.onRecordsChanged = n.quarantineStore.markChanged
	n.member = newMember(n.memberConfig(hooks))
	n.service.member = n.member
	n.nodeFollower = n.newNodeFollower()
	n.suspension.OnResume(n.service.state.addSuspension)
	n.service.state.checkSuspension = n.suspension.Check
	n.suspension.OnResume(n.member.forgetLeader)
	n.suspension.OnResume(process.LogSuspension)
	process.Endpoint.Handle(link.KindControlLog, n.member.serveMessages)
	process.Endpoint.Handle(link.KindJoin, n.member.serveJoin)
	process.Endpoint.Handle(link.KindControlCall, n.service.serveLeaderCall)
	process.Endpoint.Handle(link.KindFeed, n.service.publisher.Serve)
	if origin != nil && s.Cache() {
		n.weightsCache = staging.NewCache(process, *origin, n.seedAddresses, func() (*disk.Folder, error) {
			return disk.NewFolder(filepath.Join(s.Common().DataFolder(), weightsFolder))
		})
	}
	return n, nil
}

// seedAddresses returns the link addresses of the seeds.
func (n *Node) seedAddresses() []string {
	return link.WithPortOf(n.seeds.Get(), n.process.Identity.Address())
}

func (n *Node) memberConfig(hooks Hooks) memberConfig {
	open := hooks.OpenFolder
	if open == nil {
		open = func() (*disk.Folder, error) { return disk.NewFolder(n.settings.Common().DataFolder()) }
	}
	self := n.process.Identity
	return memberConfig{
		identity: func(incarnation uint64) vm.Identity {
			return vm.NewIdentity(self.ID(), incarnation, self.Region(), self.Domain(), self.Address())
		},
		openFolder: open, onOpen: n.quarantineStore.setFolder, onClose: n.quarantineStore.clearFolder,
		endpoint: n.process.Endpoint, machine: n.service.state.StateMachine(),
		recordEvent: n.recordEvent, logger: n.process.Logger, seeds: n.seedAddresses,
		bootstrap: n.settings.Bootstrap(), toleratedFailures: n.settings.ToleratedFailures(),
	}
}

// recordEvent records and logs an event, and publishes changes of the voters.
func (n *Node) recordEvent(kind event.Kind, subject, detail string) {
	n.process.Recorder.Record(kind, subject, detail)
	_ = level.Info(n.process.Logger).Log("msg", string(kind), "subject", subject, "detail", detail)
	if kind == event.VoterChanged {
		n.service.publisher.NodesChanged()
	}
}

// stateChanged publishes a new document or version.
func (n *Node) stateChanged() {
	n.service.metrics.configurationNumber.Set(float64(n.service.state.DocumentNumber()))
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
	add(n.process.ServeMetrics)
	add(n.serveHTTP)
	add(n.member.run)
	if n.weightsCache != nil {
		add(n.weightsCache.Run)
	}
	add(n.nodeFollower.Run)
	add(n.suspension.Run)
	add(n.quarantineStore.run)
	add(n.expireRegistrations)
	add(n.resendRegistrations)
	add(n.seeds.Run)
	add(func(ctx context.Context) error { return n.stopOnSignal(ctx, signals) })
	err := group.Run()
	n.process.LogStop(err)
	return err
}

// newServer returns the HTTP server for operators and backend servers.
func (n *Node) newServer() *http.Server {
	router := chi.NewRouter()
	n.protocol.Mount(router, n.service)
	return &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: daemon.HTTPLog(n.process.Logger),
	}
}

// serveHTTP serves the calls of operators and backend servers. It returns only when ctx ends, since
// its return would stop the whole node: a graceful shutdown closes the server earlier.
func (n *Node) serveHTTP(ctx context.Context) error {
	l, err := n.process.Listen(n.settings.Listen())
	if err != nil {
		return err
	}
	if err := daemon.ServeHTTP(ctx, n.server, netutil.LimitListener(l, maxConnections)); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// stopOnSignal waits for a signal, and then for the calls in progress: an operator whose change was
// read, and may have been committed, still gets the result.
func (n *Node) stopOnSignal(ctx context.Context, signals <-chan os.Signal) error {
	if err := daemon.WaitSignal(ctx, signals); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := n.server.Shutdown(ctx); err != nil {
		_ = level.Warn(n.process.Logger).Log("msg", "shutdown closes calls in progress", "err", err)
	}
	return nil
}

// ProtocolName returns the protocol's name in settings.
func (p Protocol) ProtocolName() string { return p.Name }
