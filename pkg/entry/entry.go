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
	settings    settings.Entry
	seams       Seams
	folder      *disk.Folder // nil unless this entry is a voter
	process     *daemon.Process
	state       *configstate.State
	machine     *agreed.Machine
	runner      *controllog.Runner // nil unless this entry is a voter
	peers       *link.Messenger[controllog.Message]
	proposals   *proposer
	agents      *membership.View
	entries     *entryTable
	router      *route.Router
	budget      *route.Budget
	admission   *admission.Controller
	spread      *coordinators
	distributor *configstate.Distributor
	metrics     *metrics

	draining    atomic.Bool
	caughtUp    atomic.Bool
	drain       *daemon.Drain
	heardQuorum atomic.Int64
	requests    atomic.Uint64
	inFlight    atomic.Int64
}

// Seams are where a test replaces what lies outside of the process. The zero
// value is the real outside.
type Seams struct {
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
	// RetryAnything tries again whatever may have run.
	RetryAnything bool
	// SkipAnswerCheck passes on any part of an answer.
	SkipAnswerCheck bool
	// SayNotRun calls every failure "not run".
	SayNotRun bool
	// DrainAtOnce leaves without waiting for what is in flight.
	DrainAtOnce bool
	// Config leaves safeguards of the configuration out.
	Config configstate.Faults
	// IgnoreLeaving goes on sending to agents that are leaving.
	IgnoreLeaving bool
}

// New returns an entry that is not running yet.
func New(s settings.Entry, seams Seams) (*Entry, error) {
	if seams.Manifest == nil {
		seams.Manifest = manifestOverHTTP
	}
	if seams.BeforeSend == nil {
		seams.BeforeSend = func(string) {}
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
	process, err := daemon.New(s.Common(), incarnation, seams.Seams)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings:  s,
		seams:     seams,
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
	e.state.SetFaults(seams.Faults.Config)
	e.peers = link.NewMessenger[controllog.Message](process.Endpoint, link.KindControlLog)
	e.spread = newCoordinators(e)
	e.distributor = configstate.NewDistributor(e.state, e.confirmed)
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
	e.handleLinks()
	return e, nil
}

func (e *Entry) handleLinks() {
	endpoint := e.process.Endpoint
	endpoint.Handle(link.KindApply, e.serveApply)
	endpoint.Handle(link.KindPropose, e.serveProposal)
	endpoint.Handle(link.KindQuery, e.serveQuery)
	endpoint.Handle(link.KindStatus, e.serveStatus)
	endpoint.Handle(link.KindVoterChange, e.serveVoterChange)
	endpoint.Handle(link.KindVoterIdentity, e.serveVoterIdentity)
	endpoint.Handle(link.KindSpread, e.spread.serveReport)
	endpoint.Handle(link.KindDomainSources, e.spread.serveSources)
	endpoint.Handle(link.KindDrain, e.serveDrain)
	endpoint.Handle(link.KindRequest, e.serveForwarded)
	endpoint.HandleTopic(link.KindSubscribe, bus.TopicConfig, e.distributor.Serve)
	endpoint.Handle(link.KindControlLog, e.serveControlLog)

	subscriber := link.NewSubscriber(endpoint)
	bus.Handle(e.process.Bus, "agents", bus.TopicHeartbeat, subscriber, e.heardAgent)
	bus.Handle(e.process.Bus, "entries", bus.TopicEntryHeartbeat, subscriber, e.heardEntry)
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
	add(e.sendBeats)
	add(e.watchAgents)
	add(e.watchPlatform)
	add(e.spread.run)
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
				e.heardQuorum.Store(time.Now().UnixNano())
			}
		},
	}
}

// confirmedFor is how long the word of a quorum's leader counts.
const confirmedFor = 5 * time.Second

// confirmed tells whether a quorum's leader was heard of lately.
func (e *Entry) confirmed() bool {
	return time.Since(time.Unix(0, e.heardQuorum.Load())) < confirmedFor
}
