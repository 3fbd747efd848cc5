// ================================================================
// The replicated state of the control nodes: the newest service configuration, the named versions of
// each model's weights, of which the newest is in force, the evacuated failure domains, and the backend
// servers that drain or have left. Numbers, versions, the revisions of domains and the states of one start of
// a server only increase, so a command that is applied twice or late changes nothing.
// ================================================================

// Package control implements the control node. Control nodes replicate the service configuration
// and the named versions of weights, receive the heartbeats of backend servers, and publish all of
// it to gateways and stagers.
package control

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/placement"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Configuration is a document together with the text that the operator sent.
//
//wire:generate
type Configuration struct {
	// document is the parsed configuration.
	document serviceconfig.Document
	// raw is the text that the operator sent; a read returns it.
	raw []byte
}

// ModelVersion is the version of a model's weights that is to be served.
//
//wire:generate
type ModelVersion struct {
	// model is the model's name.
	model string
	// version is the version number; the highest one is in force.
	version uint64
}

// command is an entry of the control log. Exactly one of its fields is set.
//
//wire:generate
type command struct {
	// configuration replaces the current one if its number is higher.
	configuration *Configuration
	// version becomes the newest named version if it is higher than the current one.
	version *ModelVersion
	// evacuation changes whether a failure domain is evacuated.
	evacuation *placement.Change
	// departure is a backend server that drains or has left.
	departure *registry.Departure
}

// snapshotData is the content of a snapshot: the whole state.
//
//wire:generate
type snapshotData struct {
	// configuration is the newest configuration; nil if there is none.
	configuration *Configuration
	// versions are the named versions with their ages, by model and oldest first. Earlier releases
	// wrote only the newest version of each model, without an age.
	versions []feed.NamedVersion
	// evacuations are the states of the failure domains that were ever evacuated.
	evacuations []placement.DomainState
	// departures are the backend servers that drain or have left recently.
	departures []registry.Departure
}

// State is the replicated state on one node. It is safe for concurrent use.
//
// The log defines which versions are named and in which order, but not when: a node that replays
// the log or restores a snapshot sees a version later than it was named. The age of a version is
// therefore the largest one known: since it was applied here, as recorded in a snapshot, or as
// reported by another node or a follower. The age restarts at 0 only if no process that knew it
// is left.
type State struct {
	onChange func()
	now      func() time.Time
	// checkSuspension adds a suspension of the VM that was not detected yet to the ages. It is called
	// before ages are merged: those that arrive after the VM has resumed include the suspension.
	checkSuspension func()
	// onVersionChanges receives changes of versions and their ages, with the kind of their source
	// and its address.
	onVersionChanges func(changes []feed.VersionChange, source, from string)
	// onEvacuations receives the failure domains that have been evacuated, or not any more.
	onEvacuations func(changed []placement.DomainState)
	// onDepartures receives the backend servers that drain or have left.
	onDepartures func(changed []registry.Registration)

	evacuations placement.Evacuations
	departures  *registry.Departures
	named       *feed.VersionTable // versions that the log has named
	reported    *feed.VersionTable // versions that other processes reported, possibly before the log names them

	mu            sync.RWMutex
	configuration *Configuration
}

// Sources of a version or its age in log lines. A follower or another node is logged by its role.
const (
	sourceLog      = "applied"
	sourceSnapshot = "snapshot"
	sourceReported = "told before"
)

// NewState returns an empty state. onChange is called after each change, in the goroutine that
// made the change.
func NewState(onChange func()) *State {
	return &State{
		onChange: onChange, now: time.Now, checkSuspension: func() {}, onVersionChanges: func([]feed.VersionChange, string, string) {},
		onEvacuations: func([]placement.DomainState) {}, onDepartures: func([]registry.Registration) {},
		departures: registry.NewDepartures(registrationTTL, nil),
		named:      feed.NewVersionTable(), reported: feed.NewVersionTable(),
	}
}

// StateMachine returns the functions by which the control log applies commands and snapshots.
func (s *State) StateMachine() controllog.StateMachine {
	return controllog.StateMachine{Apply: s.apply, Snapshot: s.snapshot, Restore: s.restore}
}

func (s *State) apply(_ uint64, data []byte) any {
	var c command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		// The entry passed its checksum, so a newer release wrote it. Skipping it keeps an older
		// release running.
		return nil
	}
	changed := s.applyConfiguration(c.configuration)
	if v := c.version; v != nil && v.version > s.NewestVersion(v.model) {
		changed = s.mergeNamed([]feed.NamedVersion{feed.NewNamedVersion(v.model, v.version, 0)}, sourceLog) || changed
	}
	if changed {
		s.onChange()
	}
	if c.departure != nil {
		s.mergeDepartures(*c.departure)
	}
	if c.evacuation != nil {
		return s.applyEvacuation(*c.evacuation)
	}
	return nil
}

// mergeDepartures adds departures of backend servers.
func (s *State) mergeDepartures(departures ...registry.Departure) {
	if changed := s.departures.Merge(departures...); len(changed) > 0 {
		s.onDepartures(changed)
	}
}

// applyEvacuation applies the change of a failure domain and returns its outcome.
func (s *State) applyEvacuation(c placement.Change) placement.Outcome {
	outcome := s.evacuations.Apply(c)
	if outcome.Result() == placement.Applied {
		s.onEvacuations([]placement.DomainState{s.evacuations.Get(c.Domain())})
	}
	return outcome
}

// applyConfiguration stores a configuration if it is newer, and reports whether it was.
func (s *State) applyConfiguration(c *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil || s.configuration != nil && c.document.Number() <= s.configuration.document.Number() {
		return false
	}
	s.configuration = c
	return true
}

// mergeNamed adds versions that the log names, with ages that were reported earlier, and reports
// whether any change is significant.
func (s *State) mergeNamed(versions []feed.NamedVersion, source string) bool {
	s.checkSuspension()
	now := s.now()
	added := s.named.Merge(versions, now)
	s.onVersionChanges(added, source, "")
	raised := s.named.MergeAges(s.reportedAges(versions, now), now)
	s.onVersionChanges(raised, sourceReported, "")
	return hasSignificant(added) || hasSignificant(raised)
}

// reportedAges returns those of the versions for which other processes have reported an age, with
// that age.
func (s *State) reportedAges(versions []feed.NamedVersion, now time.Time) (ages []feed.NamedVersion) {
	for _, v := range versions {
		if n := s.reported.Next(v.Model(), v.Version()-1); n.Version() == v.Version() {
			ages = append(ages, feed.NewNamedVersion(v.Model(), v.Version(), now.Sub(n.NamedAt())))
		}
	}
	return ages
}

// MergeAges takes the ages of versions from another node or a follower. It does not name a version:
// the age of a version that is not applied here yet is kept until the log names the version.
func (s *State) MergeAges(versions []feed.NamedVersion, source, from string) {
	s.checkSuspension()
	now := s.now()
	s.reported.Merge(versions, now)
	raised := s.named.MergeAges(versions, now)
	s.onVersionChanges(raised, source, from)
	if hasSignificant(raised) {
		s.onChange()
	}
}

// hasSignificant reports whether one of the changes has to be published at once.
func hasSignificant(changes []feed.VersionChange) bool {
	return slices.ContainsFunc(changes, feed.VersionChange.IsSignificant)
}

func (s *State) snapshot() ([]byte, error) {
	return msgpack.Marshal(snapshotData{configuration: s.Configuration(), versions: s.NamedVersions(), evacuations: s.evacuations.All(), departures: s.departures.All()})
}

// restore merges a snapshot into the state. Newer state is kept: a node that reopens its disk has
// applied more than the snapshot contains.
func (s *State) restore(raw []byte) error {
	var d snapshotData
	if err := msgpack.Unmarshal(raw, &d); err != nil {
		return err
	}
	changed := s.applyConfiguration(d.configuration)
	if s.mergeNamed(d.versions, sourceSnapshot) || changed {
		s.onChange()
	}
	if evacuations := s.evacuations.Merge(d.evacuations); len(evacuations) > 0 {
		s.onEvacuations(evacuations)
	}
	s.mergeDepartures(d.departures...)
	return nil
}

// addSuspension adds the time for which the VM was suspended to the ages of all versions.
func (s *State) addSuspension(d time.Duration) {
	s.named.AddSuspension(d)
	s.reported.AddSuspension(d)
}

// Configuration returns the newest configuration; nil if there is none.
func (s *State) Configuration() *Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// DocumentNumber returns the number of the newest configuration; 0 if there is none.
func (s *State) DocumentNumber() uint64 {
	if c := s.Configuration(); c != nil {
		return c.document.Number()
	}
	return 0
}

// Document returns the newest document; nil if there is none.
func (s *State) Document() *serviceconfig.Document {
	if c := s.Configuration(); c != nil {
		return &c.document
	}
	return nil
}

// Evacuations returns the states of the failure domains that were ever evacuated.
func (s *State) Evacuations() []placement.DomainState { return s.evacuations.All() }

// NewestVersion returns the newest named version of a model; 0 if there is none.
func (s *State) NewestVersion(model string) uint64 { return s.named.Newest(model).Version() }

// NamedVersions returns the named versions that a process may still be waiting for, by model and
// oldest first, with their ages.
func (s *State) NamedVersions() []feed.NamedVersion { return s.named.Current(s.now()) }
