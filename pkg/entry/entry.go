// ================================================================
// The entry: callers' HTTP, admission, routing and retries; the failure
// domain's view of its VMs; on an entry VM with a disk a voter of the control
// log.
//
// Each part has a file of its own; this one puts them together.
// ================================================================

// Package entry runs on each entry VM.
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
	runner       *controllog.Runner // nil unless this entry is a voter
	peers        *link.Messenger[controllog.Message]
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
	leaderSeenAt atomic.Int64
	requests     atomic.Uint64
	inFlight     atomic.Int64
}

// Hooks are where a test replaces what lies outside of the process. The zero
// value is the real outside.
type Hooks struct {
	daemon.Seams
	// Manifest resolves a version name at a source.
	Manifest func(ctx context.Context, url string, name contract.ModelName) (contract.Manifest, error)
	// BeforeSend is called before an attempt is sent, with its id.
	BeforeSend func(attempt string)
	// Faults leave safeguards out.
	Faults Faults
}

// Faults are seeded faults, to show that a proof notices them. The zero value
// has none.
type Faults struct {
	// SkipClaim runs a keyed request without a claim.
	SkipClaim bool
	// RetryAlways tries again whatever may have run.
	RetryAlways bool
	// SkipAnswerCheck passes on any part of an answer.
	SkipAnswerCheck bool
	// ReportNotRun calls every failure "not run".
	ReportNotRun bool
	// SkipDrainWait leaves without waiting for what is in flight.
	SkipDrainWait bool
	// Config leaves safeguards of the configuration out.
	Config configstate.Faults
	// SendToLeavingAgents goes on sending to agents that are leaving.
	SendToLeavingAgents bool
}

// New returns an entry that is not running yet.
func New(s settings.Entry, hooks Hooks) (*Entry, error) {
	if hooks.Manifest == nil {
		hooks.Manifest = fetchManifest
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
	process, err := daemon.New(s.Common(), incarnation, hooks.Seams)
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

// Run runs the entry until it is drained by a signal or an operator.
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
	add(e.process.ServeObserve)
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

// serveLinks listens once the handlers of the bus are subscribed.
func (e *Entry) serveLinks(ctx context.Context) error {
	select {
	case <-e.process.Bus.Running():
	case <-ctx.Done():
		return nil
	}
	return e.process.ServeLinks(ctx, e.settings.Common().PeersListen())
}

// follower keeps an entry without the control log up to date.
func (e *Entry) follower() *configstate.Follower {
	return &configstate.Follower{
		Endpoint:  e.process.Endpoint,
		State:     e.state,
		Addresses: e.settings.Entries,
		Heard: func(confirmed bool) {
			if confirmed {
				e.leaderSeenAt.Store(time.Now().UnixNano())
			}
		},
	}
}

// leaderSeenTTL is how long the word of a quorum's leader counts.
const leaderSeenTTL = 5 * time.Second

// leaderSeenRecently tells whether a quorum's leader was heard of lately.
func (e *Entry) leaderSeenRecently() bool {
	return time.Since(time.Unix(0, e.leaderSeenAt.Load())) < leaderSeenTTL
}
