// ================================================================
// The agreed state of the control nodes: the newest service configuration and
// the newest named version of each model's weights. Both only ever rise, so a
// command that is applied twice, or late, changes nothing.
// ================================================================

// Package control is the control node: it agrees on the service configuration
// and on named weights, hears the heartbeats of backend servers, and feeds
// gateways and stagers.
package control

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"sort"
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
	// source is the operator's text, given back on a read.
	source []byte
}

// VersionName names the version of a model's weights that is to be served.
//
//wire:generate
type VersionName struct {
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
	version *VersionName
}

// image is the whole state, for snapshots.
//
//wire:generate
type image struct {
	// configuration is the newest; nil when there is none.
	configuration *Configuration
	// versions are the named versions.
	versions []VersionName
}

// namedVersion is a version and when it was applied here.
type namedVersion struct {
	version uint64
	at      time.Time
}

// State is the agreed state at one node. It is safe for concurrent use.
type State struct {
	changed func()
	now     func() time.Time

	mu            sync.RWMutex
	configuration *Configuration
	versions      map[string]namedVersion
}

// NewState returns an empty state; changed is called after each change, from
// the goroutine that applied it.
func NewState(changed func()) *State {
	return &State{changed: changed, now: time.Now, versions: map[string]namedVersion{}}
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
	if s.take(c.configuration, c.version) {
		s.changed()
	}
	return nil
}

// take takes what is newer, and tells whether anything was.
func (s *State) take(c *Configuration, v *VersionName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	if c != nil && (s.configuration == nil || c.document.Number() > s.configuration.document.Number()) {
		s.configuration = c
		changed = true
	}
	if v != nil && v.version > s.versions[v.model].version {
		s.versions[v.model] = namedVersion{v.version, s.now()}
		changed = true
	}
	return changed
}

func (s *State) snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := image{configuration: s.configuration}
	for model, named := range s.versions {
		i.versions = append(i.versions, VersionName{model, named.version})
	}
	sort.Slice(i.versions, func(a, b int) bool { return i.versions[a].model < i.versions[b].model })
	return msgpack.Marshal(i)
}

// restore takes a snapshot. What is held and newer stays: a node that opens its
// disk again has applied more than the snapshot holds.
func (s *State) restore(raw []byte) error {
	var i image
	if err := msgpack.Unmarshal(raw, &i); err != nil {
		return err
	}
	changed := s.take(i.configuration, nil)
	for _, v := range i.versions {
		changed = s.take(nil, &v) || changed
	}
	if changed {
		s.changed()
	}
	return nil
}

// Configuration returns the newest one; nil when there is none.
func (s *State) Configuration() *Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configuration
}

// Number returns the newest configuration's number; 0 when there is none.
func (s *State) Number() uint64 {
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

// Version returns the named version of a model; 0 when there is none.
func (s *State) Version(model string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.versions[model].version
}

// Weights returns all named versions for the feed.
func (s *State) Weights() []feed.Weights {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []feed.Weights
	for model, named := range s.versions {
		all = append(all, feed.NewWeights(model, named.version, s.now().Sub(named.at)))
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Model() < all[b].Model() })
	return all
}
