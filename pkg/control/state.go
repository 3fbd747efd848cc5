// ================================================================
// The agreed state of the control nodes: the newest service configuration and
// the named versions of each model's weights, of which the newest holds. Both
// only ever rise, so a command that is applied twice, or late, changes nothing.
//
// The log says what is named and in which order. When that was, it cannot say: a
// node that reads it again, or takes a snapshot, sees the versions later than they
// were named. So a version's age is the largest that anybody alive knows: since it
// was applied here, as a snapshot recorded it, or as another node or a follower
// tells. Only where all that knew it have gone does it begin anew.
// ================================================================

// Package control is the control node: it agrees on the service configuration
// and on named weights, hears the heartbeats of backend servers, and feeds
// gateways and stagers.
package control

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/controllog"
	"github.com/tidepost/tidepost/pkg/feed"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Configuration is a document together with the text that the operator sent.
//
//wire:generate
type Configuration struct {
	// document is what the system obeys.
	document serviceconfig.Document
	// raw is the operator's text, given back on a read.
	raw []byte
}

// ModelVersion names the version of a model's weights that is to be served.
//
//wire:generate
type ModelVersion struct {
	// model is the model's name.
	model string
	// version is the version; the highest holds.
	version uint64
}

// command is one command of the control log: one of its fields.
//
//wire:generate
type command struct {
	// configuration replaces the one held when its number is higher.
	configuration *Configuration
	// version is named when it is higher than the one held.
	version *ModelVersion
}

// snapshotData is the whole state, for snapshots.
//
//wire:generate
type snapshotData struct {
	// configuration is the newest; nil when there is none.
	configuration *Configuration
	// versions are the named versions with their ages, by model and oldest first.
	// Earlier releases wrote the newest of each model, without an age.
	versions []feed.NamedVersion
}

// State is the agreed state at one node. It is safe for concurrent use.
type State struct {
	onChange func()
	now      func() time.Time
	// onVersionChanges gets what was learnt of versions and their ages, and where from.
	onVersionChanges func(moves []feed.VersionChange, source, from string)

	named    *feed.VersionTable // as the log says
	reported *feed.VersionTable // as others told, for versions that the log may still bring

	mu            sync.RWMutex
	configuration *Configuration
}

// Where a version or its age was learnt, for the log; followers and other nodes go
// by their roles.
const (
	sourceLog      = "applied"
	sourceSnapshot = "snapshot"
	sourceReported = "told before"
)

// NewState returns an empty state; changed is called after each change, from
// the goroutine that made it.
func NewState(onChange func()) *State {
	return &State{
		onChange: onChange, now: time.Now, onVersionChanges: func([]feed.VersionChange, string, string) {},
		named: feed.NewVersionTable(), reported: feed.NewVersionTable(),
	}
}

// StateMachine is the state as the control log applies commands to it.
func (s *State) StateMachine() controllog.StateMachine {
	return controllog.StateMachine{Apply: s.apply, Snapshot: s.snapshot, Restore: s.restore}
}

func (s *State) apply(_ uint64, data []byte) any {
	var c command
	if err := msgpack.Unmarshal(data, &c); err != nil {
		// The entry passed its checksum; a newer program wrote it. Skipping it
		// keeps an older one running.
		return nil
	}
	changed := s.applyConfiguration(c.configuration)
	if v := c.version; v != nil && v.version > s.NewestVersion(v.model) {
		changed = s.mergeNamed([]feed.NamedVersion{feed.NewNamedVersion(v.model, v.version, 0)}, sourceLog) || changed
	}
	if changed {
		s.onChange()
	}
	return nil
}

// applyConfiguration takes a configuration that is newer, and tells whether it was.
func (s *State) applyConfiguration(c *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil || s.configuration != nil && c.document.Number() <= s.configuration.document.Number() {
		return false
	}
	s.configuration = c
	return true
}

// mergeNamed takes versions that the log names, with what others told of their ages
// before, and tells whether that changed anything.
func (s *State) mergeNamed(versions []feed.NamedVersion, source string) bool {
	now := s.now()
	named := s.named.Merge(versions, now)
	s.onVersionChanges(named, source, "")
	raised := s.named.MergeAges(s.reportedAges(versions, now), now)
	s.onVersionChanges(raised, sourceReported, "")
	return hasSignificant(named) || hasSignificant(raised)
}

// reportedAges returns the ages that others told of some versions.
func (s *State) reportedAges(versions []feed.NamedVersion, now time.Time) (ages []feed.NamedVersion) {
	for _, v := range versions {
		if n := s.reported.Next(v.Model(), v.Version()-1); n.Version() == v.Version() {
			ages = append(ages, feed.NewNamedVersion(v.Model(), v.Version(), now.Sub(n.Since())))
		}
	}
	return ages
}

// MergeAges takes the ages of versions that another node or a follower knows of. It
// names none: one that the log has not brought here yet waits for it.
func (s *State) MergeAges(versions []feed.NamedVersion, source, from string) {
	now := s.now()
	s.reported.Merge(versions, now)
	raised := s.named.MergeAges(versions, now)
	s.onVersionChanges(raised, source, from)
	if hasSignificant(raised) {
		s.onChange()
	}
}

// hasSignificant tells whether one of some changes is worth being told at once.
func hasSignificant(changes []feed.VersionChange) bool {
	return slices.ContainsFunc(changes, feed.VersionChange.IsSignificant)
}

func (s *State) snapshot() ([]byte, error) {
	return msgpack.Marshal(snapshotData{configuration: s.Configuration(), versions: s.NamedVersions()})
}

// restore takes a snapshot. What is held and newer stays: a node that opens its
// disk again has applied more than the snapshot holds.
func (s *State) restore(raw []byte) error {
	var i snapshotData
	if err := msgpack.Unmarshal(raw, &i); err != nil {
		return err
	}
	changed := s.applyConfiguration(i.configuration)
	if s.mergeNamed(i.versions, sourceSnapshot) || changed {
		s.onChange()
	}
	return nil
}

// addSuspension makes the ages of versions count how long the VM was suspended.
func (s *State) addSuspension(by time.Duration) {
	s.named.AddSuspension(by)
	s.reported.AddSuspension(by)
}

// Configuration returns the newest one; nil when there is none.
func (s *State) Configuration() *Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// ConfigurationNumber returns the newest configuration's number; 0 when there is none.
func (s *State) ConfigurationNumber() uint64 {
	if c := s.Configuration(); c != nil {
		return c.document.Number()
	}
	return 0
}

// Document returns the newest document; nil when there is none.
func (s *State) Document() *serviceconfig.Document {
	if c := s.Configuration(); c != nil {
		return &c.document
	}
	return nil
}

// NewestVersion returns the newest named version of a model; 0 when there is none.
func (s *State) NewestVersion(model string) uint64 { return s.named.Newest(model).Version() }

// NamedVersions returns the named versions that somebody may still wait for.
func (s *State) NamedVersions() []feed.NamedVersion { return s.named.Current(s.now()) }
