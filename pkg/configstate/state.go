// ================================================================
// The configuration: objects by kind and name, and one revision number that
// grows by one with each accepted change.
//
// A voter's State is fed by the control log (ApplyChange), that of any other
// process by deltas (ApplyDelta). Either way it only ever goes forward.
//
// Readers on the path of a request use View, a read-only index behind an
// atomic pointer: a change is rare (5,600 a day) and a request is not, so the
// index is built once a change and never locked.
// ================================================================

// Package configstate holds the agreed configuration and its readable view.
package configstate

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
)

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

const (
	// maxChangeResults is how many change ids are kept, so that a resent
	// change gets its first result: almost three days at 5,600 a day.
	maxChangeResults = 16384
	// maxTombstones is how many deletions are kept for deltas; who asks for
	// an earlier revision gets a full copy.
	maxTombstones = 4096
)

// changeResult is the result of a change.
//
//wire:generate
type changeResult struct {
	// id is the change's.
	id string
	// content is the digest of what the change asked for.
	content contract.Digest
	// result is what its client got.
	result contract.ChangeResult
}

// snapshotData is the whole state in a snapshot.
//
//wire:generate
type snapshotData struct {
	// revision is the revision of the objects.
	revision uint64
	// deltaFloor is the revision below which deltas are not possible.
	deltaFloor uint64
	// objects are all objects and the kept tombstones.
	objects []contract.Object
	// results are the remembered results, oldest first.
	results []changeResult
}

// State is the configuration of one process.
type State struct {
	mu          sync.RWMutex
	revision    uint64
	deltaFloor  uint64
	objects     map[contract.Key]contract.Object
	tombstones  []contract.Key
	results     map[string]changeResult
	resultOrder []string
	onChange    []func(contract.Delta)
	faults      Faults

	// current is revision for readers without the lock; view may be behind it
	// and is built anew when somebody looks.
	current atomic.Uint64
	view    atomic.Pointer[View]
}

// NewState returns an empty configuration at revision 0.
func NewState() *State {
	s := &State{objects: map[contract.Key]contract.Object{}, results: map[string]changeResult{}}
	s.view.Store(newView(0, nil))
	return s
}

// Faults are seeded faults, to show that a proof notices them. The zero value
// has none.
type Faults struct {
	// SkipBaseCheck accepts a change whatever it was made against.
	SkipBaseCheck bool
}

// SetFaults leaves safeguards out. Call it before the state is fed.
func (s *State) SetFaults(f Faults) { s.faults = f }

// OnChange has f called, in order and from the applying goroutine, with every
// delta that takes effect. Set it before the state is fed.
func (s *State) OnChange(f func(contract.Delta)) { s.onChange = append(s.onChange, f) }

// View returns the readable index of the present revision. It is built by the
// first reader after a change: a voter that replays ten thousand changes after
// a restart needs one index and not ten thousand.
func (s *State) View() *View {
	if v := s.view.Load(); v.revision == s.current.Load() {
		return v
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := newView(s.revision, s.objects)
	s.view.Store(v)
	return v
}

// Revision returns the present revision.
func (s *State) Revision() uint64 { return s.current.Load() }

// ----------------------------------------------------------------
// Fed by the control log

// ApplyChange applies a committed change and returns its result. A change
// with a known id gets the result that it got before.
func (s *State) ApplyChange(c contract.Change) contract.ChangeResult {
	s.mu.Lock()
	content := contentDigest(c)
	if r, ok := s.results[c.ID()]; ok {
		s.mu.Unlock()
		if r.content != content {
			return contract.NewChangeResult(s.Revision(), failure.New(failure.ChangeIDReused, "change id %q", c.ID()))
		}
		return r.result
	}
	result, delta := s.accept(c)
	s.storeResult(changeResult{id: c.ID(), content: content, result: result})
	s.mu.Unlock()
	if result.Refusal() == nil {
		s.notifyListeners(delta)
	}
	return result
}

func contentDigest(c contract.Change) contract.Digest {
	if !c.Content().IsZero() {
		return c.Content()
	}
	raw, err := msgpack.Marshal(contract.NewChange("", c.Operator(), c.Base(), c.Objects(), contract.Digest{}))
	if err != nil {
		// Encoding plain fields into memory cannot fail.
		panic(err)
	}
	return contract.DigestOf(raw)
}

// accept checks a change and puts it in force.
func (s *State) accept(c contract.Change) (contract.ChangeResult, contract.Delta) {
	if refusal := s.checkChange(c); refusal != nil {
		return contract.NewChangeResult(s.revision, refusal), contract.Delta{}
	}
	before := s.revision
	s.revision++
	var written []contract.Object
	for _, o := range c.Objects() {
		o = o.AtRevision(s.revision)
		s.put(o)
		written = append(written, o)
	}
	s.current.Store(s.revision)
	return contract.NewChangeResult(s.revision, nil), contract.NewDelta(before, s.revision, written, true)
}

// checkChange refuses a change that lost a race or that does not fit together.
func (s *State) checkChange(c contract.Change) *failure.Failure {
	if len(c.Objects()) == 0 {
		return failure.New(failure.BadDocument, "change %q has no objects", c.ID())
	}
	for _, o := range c.Objects() {
		current, ok := s.objects[o.Key()]
		if ok && current.Revision() > c.Base() && !s.faults.SkipBaseCheck {
			return failure.New(failure.Conflict, "%s was changed at revision %d, after %d; the current revision is %d",
				o.Key(), current.Revision(), c.Base(), s.revision)
		}
		if o.Deleted() && (!ok || current.Deleted()) {
			return failure.New(failure.UnknownObject, "%s", o.Key())
		}
	}
	return checkReferences(s.objects, c.Objects())
}

func (s *State) put(o contract.Object) {
	s.objects[o.Key()] = o
	if !o.Deleted() {
		return
	}
	s.tombstones = append(s.tombstones, o.Key())
	if len(s.tombstones) > maxTombstones {
		s.dropOldestTombstone()
	}
}

func (s *State) dropOldestTombstone() {
	key := s.tombstones[0]
	s.tombstones = s.tombstones[1:]
	if o := s.objects[key]; o.Deleted() {
		s.deltaFloor = max(s.deltaFloor, o.Revision())
		delete(s.objects, key)
	}
}

func (s *State) storeResult(r changeResult) {
	s.results[r.id] = r
	s.resultOrder = append(s.resultOrder, r.id)
	if len(s.resultOrder) > maxChangeResults {
		delete(s.results, s.resultOrder[0])
		s.resultOrder = s.resultOrder[1:]
	}
}

func (s *State) notifyListeners(d contract.Delta) {
	for _, f := range s.onChange {
		f(d)
	}
}

// ----------------------------------------------------------------
// Fed by deltas

// ApplyDelta puts a delta in force. It returns false for one that would go
// back or that leaves a gap; the process then asks again from its revision.
func (s *State) ApplyDelta(d contract.Delta) bool {
	s.mu.Lock()
	full := d.From() == 0
	applicable := d.Revision() > s.revision && (full || d.From() <= s.revision)
	if !applicable {
		s.mu.Unlock()
		return false
	}
	before := s.revision
	if full {
		s.objects = map[contract.Key]contract.Object{}
		s.tombstones = nil
	}
	for _, o := range d.Objects() {
		s.put(o)
	}
	s.revision = d.Revision()
	if full {
		s.deltaFloor = s.revision
	}
	s.current.Store(s.revision)
	broken := invariant.Check(s.revision > before, "configuration_went_back", "from %d to %d", before, s.revision)
	s.mu.Unlock()
	s.notifyListeners(d)
	return broken == nil
}

// Since returns the delta from a revision to the present one, or a full copy
// when the revision is too old; false when there is nothing newer.
func (s *State) Since(revision uint64) (contract.Delta, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision >= s.revision {
		return contract.Delta{}, false
	}
	from := revision
	if revision < s.deltaFloor {
		from = 0
	}
	var objects []contract.Object
	for _, o := range s.objects {
		if o.Revision() > from && (from > 0 || !o.Deleted()) {
			objects = append(objects, o)
		}
	}
	sortObjects(objects)
	return contract.NewDelta(from, s.revision, objects, true), true
}

// Objects returns the objects of a kind (empty is all) and name (empty is
// all), without the deleted ones, and the revision that they were read at.
func (s *State) Objects(kind contract.ObjectKind, name string) (uint64, []contract.Object) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var objects []contract.Object
	for _, o := range s.objects {
		if o.Deleted() || kind != "" && o.Kind() != kind || name != "" && o.Name() != name {
			continue
		}
		objects = append(objects, o)
	}
	sortObjects(objects)
	return s.revision, objects
}

func sortObjects(objects []contract.Object) {
	sort.Slice(objects, func(i, j int) bool {
		a, b := objects[i], objects[j]
		if a.Kind() != b.Kind() {
			return a.Kind() < b.Kind()
		}
		return a.Name() < b.Name()
	})
}

// ----------------------------------------------------------------
// Snapshots

// Snapshot returns the whole state, encoded.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := snapshotData{revision: s.revision, deltaFloor: s.deltaFloor}
	for _, o := range s.objects {
		i.objects = append(i.objects, o)
	}
	sortObjects(i.objects)
	for _, id := range s.resultOrder {
		i.results = append(i.results, s.results[id])
	}
	return msgpack.Marshal(i)
}

// Restore replaces the state. It tells the listeners of a full copy.
func (s *State) Restore(raw []byte) error {
	var i snapshotData
	if err := msgpack.Unmarshal(raw, &i); err != nil {
		return failure.New(failure.CorruptLog, "the configuration in a snapshot cannot be read: %v", err)
	}
	s.mu.Lock()
	s.revision, s.deltaFloor = i.revision, i.deltaFloor
	s.objects, s.tombstones = map[contract.Key]contract.Object{}, nil
	for _, o := range i.objects {
		s.put(o)
	}
	s.results, s.resultOrder = map[string]changeResult{}, nil
	for _, r := range i.results {
		s.storeResult(r)
	}
	s.current.Store(s.revision)
	s.mu.Unlock()
	s.notifyListeners(contract.NewDelta(0, i.revision, i.objects, true))
	return nil
}
