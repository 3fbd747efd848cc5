// ================================================================
// The entry process: HTTP API for callers, admission, routing and retries; membership
// of the failure domain's VMs; on an entry VM with a disk also a voter of the control
// log. This file creates and runs the parts.
// ================================================================

// Package entry implements the process that runs on each entry VM: it accepts callers'
// requests and routes them to agents.
package entry

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/tidepost/tidepost/pkg/admission"
	"github.com/tidepost/tidepost/pkg/agreed"
	"github.com/tidepost/tidepost/pkg/bus"
	"github.com/tidepost/tidepost/pkg/configstate"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/membership"
	"github.com/tidepost/tidepost/pkg/route"
	"github.com/tidepost/tidepost/pkg/settings"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Entry is one entry process.
type Entry struct {
	settings     settings.Entry
	hooks        Hooks
	folder       *disk.Folder // nil unless this entry is a voter
	process      *daemon.Process
	state        *configstate.State
	stateMachine *agreed.Machine
	runner       *controllog.Runner                  // nil unless this entry is a voter
	peers        *link.Messenger[controllog.Message] // to the other voters
	proposals    *proposer
	agents       *membership.View
	entries      *entryTable
	router       *route.Router
	budget       *route.Budget
	admission    *admission.Controller
	coordinators *coordinators
	distributor  *configstate.Distributor
	metrics      *metrics

	draining     atomic.Bool
	caughtUp     atomic.Bool
	drain        *daemon.Drain
	leaderSeenAt atomic.Int64  // Unix time in nanoseconds
	requests     atomic.Uint64 // number of request IDs issued
	inFlight     atomic.Int64
}

// Hooks replace the environment of the process in tests. The zero value selects the
// real environment.
type Hooks struct {
	daemon.Hooks
	// FetchManifest fetches the manifest of a model version from a source.
	FetchManifest func(ctx context.Context, url string, name contract.ModelVersion) (contract.Manifest, error)
	// BeforeSend is called with the attempt's ID before it is sent.
	BeforeSend func(attempt string)
	// Faults disable safeguards.
	Faults Faults
}

// Faults disable safeguards, so that a test can verify that it detects the resulting
// failures. The zero value disables none.
type Faults struct {
	// SkipClaim runs a keyed request without a claim.
	SkipClaim bool
	// RetryAlways retries non-repeatable requests even if they may have run.
	RetryAlways bool
	// SkipResponseCheck passes on parts of responses without checkPart.
	SkipResponseCheck bool
	// ReportNotRun reports every failure as "not run".
	ReportNotRun bool
	// SkipDrainWait exits without waiting for requests in flight.
	SkipDrainWait bool
	// Config disables safeguards of the configuration.
	Config configstate.Faults
	// SendToLeavingAgents continues to send requests to agents that are draining or
	// being withdrawn.
	SendToLeavingAgents bool
}

// New returns an entry. Run starts it.
func New(s settings.Entry, hooks Hooks) (*Entry, error) {
	if hooks.FetchManifest == nil {
		hooks.FetchManifest = fetchManifest
	}
	if hooks.BeforeSend == nil {
		hooks.BeforeSend = func(string) {}
	}
	incarnation := vm.NewIncarnation()
	var folder *disk.Folder
	if s.Voter() {
		var err error
		if folder, err = disk.NewFolder(s.Common().DataFolder()); err != nil {
			return nil, err
		}
		if incarnation, err = controllog.LoadOrCreateIncarnation(folder); err != nil {
			return nil, err
		}
	}
	process, err := daemon.New(s.Common(), incarnation, hooks.Hooks)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:  s,
		hooks:     hooks,
		folder:    folder,
		process:   process,
		state:     configstate.NewState(),
		agents:    membership.NewView(s.AgentTimeout()),
		entries:   newEntryTable(),
		router:    route.NewRouter(route.DefaultName, incarnation),
		budget:    route.NewBudget(s.RetryBudget()),
		admission: admission.NewController(s.MaxInFlight()),
		metrics:   newMetrics(process.Registry),
		drain:     process.NewDrain(),
	}
	e.state.SetFaults(hooks.Faults.Config)
	e.peers = link.NewMessenger[controllog.Message](process.Endpoint, link.KindControlLog)
	e.coordinators = newCoordinators(e)
	e.distributor = configstate.NewDistributor(e.state, e.leaderSeenRecently)
	e.state.OnChange(func(d contract.Delta) {
		process.Recorder.Record(event.ConfigApplied, string(process.Identity.ID()), revisionText(d.Revision()))
		e.metrics.revision.Set(float64(d.Revision()))
	})
	if folder != nil {
		if err := e.openControlLog(folder); err != nil {
			return nil, err
		}
	}
	e.proposals = newProposer(e)
	e.registerHandlers()
	return e, nil
}

func (e *Entry) registerHandlers() {
	endpoint := e.process.Endpoint
	endpoint.Handle(link.KindApply, e.serveApply)
	endpoint.Handle(link.KindPropose, e.serveProposal)
	endpoint.Handle(link.KindQuery, e.serveQuery)
	endpoint.Handle(link.KindStatus, e.serveStatus)
	endpoint.Handle(link.KindVoterChange, e.serveVoterChange)
	endpoint.Handle(link.KindVoterIdentity, e.serveVoterIdentity)
	endpoint.Handle(link.KindSpread, e.coordinators.serveReport)
	endpoint.Handle(link.KindDomainSources, e.coordinators.serveSources)
	endpoint.Handle(link.KindDrain, e.serveDrain)
	endpoint.Handle(link.KindRequest, e.serveForwarded)
	endpoint.HandleTopic(link.KindSubscribe, bus.TopicConfig, e.distributor.Serve)
	endpoint.Handle(link.KindControlLog, e.serveControlLog)

	subscriber := link.NewSubscriber(endpoint)
	bus.Handle(e.process.Bus, "agents", bus.TopicHeartbeat, subscriber, e.handleHeartbeat)
	bus.Handle(e.process.Bus, "entries", bus.TopicEntryHeartbeat, subscriber, e.handleEntryHeartbeat)
}

// Run runs the entry until a signal or an operator has drained it.
func (e *Entry) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer e.process.Endpoint.Close()
	defer e.peers.Close()
	if e.folder != nil {
		defer func() { _ = e.folder.Close() }()
	}
	id := string(e.process.Identity.ID())
	e.process.Recorder.Record(event.ProcessStarted, id, e.process.Identity.Address())
	defer e.process.CloseLog()
	defer e.process.Recorder.Record(event.ProcessStopped, id, "")

	var group run.Group
	add := func(f func(context.Context) error) {
		group.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(e.process.Bus.Run)
	add(e.serveLinks)
	add(e.process.ServeMetrics)
	add(e.serveCallers)
	add(e.sendHeartbeats)
	add(e.expireAgents)
	add(e.pollPlatform)
	add(e.coordinators.run)
	add(func(ctx context.Context) error {
		e.catchUp(ctx)
		<-ctx.Done()
		return nil
	})
	if e.runner != nil {
		add(e.runControlLog)
	} else {
		add(e.follower().Run)
	}
	add(func(ctx context.Context) error { return e.waitDrain(ctx, signals) })
	err := group.Run()
	e.process.Bus.Close()
	return err
}

// serveLinks starts to listen when the handlers of the bus are subscribed.
func (e *Entry) serveLinks(ctx context.Context) error {
	select {
	case <-e.process.Bus.Running():
	case <-ctx.Done():
		return nil
	}
	return e.process.ServeLinks(ctx, e.settings.Common().PeersListen())
}

// follower returns the follower that keeps the configuration of an entry without a
// control log up to date.
func (e *Entry) follower() *configstate.Follower {
	return &configstate.Follower{
		Endpoint:  e.process.Endpoint,
		State:     e.state,
		Addresses: e.settings.Entries,
		OnMessage: func(confirmed bool) {
			if confirmed {
				e.leaderSeenAt.Store(time.Now().UnixNano())
			}
		},
	}
}

// leaderSeenTTL is how long a configuration counts as confirmed after a leader with a
// quorum was last seen.
const leaderSeenTTL = 5 * time.Second

// leaderSeenRecently reports whether a leader was seen within leaderSeenTTL.
func (e *Entry) leaderSeenRecently() bool {
	return time.Since(time.Unix(0, e.leaderSeenAt.Load())) < leaderSeenTTL
}
