// ================================================================
// The configuration: objects by kind and name, and a revision number that increases by one with
// each accepted change.
// ================================================================

// Package configstate holds the replicated configuration and a read-only index of it.
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
	// maxChangeResults is the number of stored results of changes, from which a resent change gets
	// its first result: almost three days at 5,600 changes a day.
	maxChangeResults = 16384
	// maxTombstones is the number of deleted objects that are kept for deltas. A follower with an
	// older revision gets a full copy.
	maxTombstones = 4096
)

// changeResult is the stored result of a change.
//
//wire:generate
type changeResult struct {
	// id is the id of the change.
	id string
	// content is the digest of the content of the change.
	content contract.Digest
	// result is the result that the client received.
	result contract.ChangeResult
}

// snapshotData is the content of a snapshot: the whole state.
//
//wire:generate
type snapshotData struct {
	// revision is the revision of the objects.
	revision uint64
	// deltaFloor is the lowest revision from which a delta can be computed.
	deltaFloor uint64
	// objects are all objects, including tombstones.
	objects []contract.Object
	// results are the stored results of changes, oldest first.
	results []changeResult
}

// State is the configuration of one process. On a voter the control log applies changes to it
// (ApplyChange), in any other process a Follower applies deltas (ApplyDelta); the revision never
// decreases. It is safe for concurrent use.
//
// Request handlers read the configuration through View, an immutable index behind an atomic
// pointer: changes are rare (5,600 a day) and requests are not, so the index is built once per
// change and read without a lock.
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

	// current equals revision and is read without the lock. view may be older; View rebuilds it.
	current atomic.Uint64
	view    atomic.Pointer[View]
}

// NewState returns an empty configuration at revision 0.
func NewState() *State {
	s := &State{objects: map[contract.Key]contract.Object{}, results: map[string]changeResult{}}
	s.view.Store(newView(0, nil))
	return s
}

// Faults are injected faults by which tests verify that a check detects them. The zero value
// injects none.
type Faults struct {
	// SkipBaseCheck accepts a change whatever its base revision is.
	SkipBaseCheck bool
}

// SetFaults injects faults. Call it before the first change is applied.
func (s *State) SetFaults(f Faults) { s.faults = f }

// OnChange registers f, which is called with every delta that takes effect, in order and in the
// goroutine that applies it. Call it before the first change is applied.
func (s *State) OnChange(f func(contract.Delta)) { s.onChange = append(s.onChange, f) }

// View returns the index of the current revision. The first reader after a change builds it: a voter
// that replays ten thousand changes after a restart needs one index and not ten thousand.
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

// Revision returns the current revision.
func (s *State) Revision() uint64 { return s.current.Load() }

// ----------------------------------------------------------------
// Changes from the control log

// ApplyChange applies a committed change and returns its result. A change with a known id and the
// same content gets the stored result.
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

// contentDigest returns the digest of the content of a change, without its id.
func contentDigest(c contract.Change) contract.Digest {
	if !c.Content().IsZero() {
		return c.Content()
	}
	raw, err := msgpack.Marshal(contract.NewChange("", c.Operator(), c.Base(), c.Objects(), contract.Digest{}))
	if err != nil {
		// Encoding the fields into memory cannot fail.
		panic(err)
	}
	return contract.DigestOf(raw)
}

// accept checks a change and, if it is valid, applies it as the next revision.
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

// checkChange rejects a change to objects that were changed after its base revision, and a change
// that would leave the configuration invalid.
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

// put stores an object. A deleted object is kept as a tombstone.
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

// dropOldestTombstone removes the oldest tombstone: deltas from revisions before that deletion are
// not possible any more.
func (s *State) dropOldestTombstone() {
	key := s.tombstones[0]
	s.tombstones = s.tombstones[1:]
	if o := s.objects[key]; o.Deleted() {
		s.deltaFloor = max(s.deltaFloor, o.Revision())
		delete(s.objects, key)
	}
}

// storeResult stores the result of a change, and removes the oldest one beyond maxChangeResults.
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
// Deltas from an entry

// ApplyDelta applies a delta. It returns false if the delta is older than the current revision or
// leaves a gap; the process then has to subscribe again from its revision.
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
	violation := invariant.Check(s.revision > before, "configuration_went_back", "from %d to %d", before, s.revision)
	s.mu.Unlock()
	s.notifyListeners(d)
	return violation == nil
}

// Since returns the delta from a revision to the current one, or a full copy if the revision is too
// old. It returns false if there is nothing newer.
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

// Objects returns the current revision and its objects of a kind and name, without deleted ones. An
// empty kind or name matches all.
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
	d := snapshotData{revision: s.revision, deltaFloor: s.deltaFloor}
	for _, o := range s.objects {
		d.objects = append(d.objects, o)
	}
	sortObjects(d.objects)
	for _, id := range s.resultOrder {
		d.results = append(d.results, s.results[id])
	}
	return msgpack.Marshal(d)
}

// Restore replaces the state by a snapshot, and calls the listeners with a full copy.
func (s *State) Restore(raw []byte) error {
	var d snapshotData
	if err := msgpack.Unmarshal(raw, &d); err != nil {
		return failure.New(failure.CorruptLog, "the configuration in a snapshot cannot be read: %v", err)
	}
	s.mu.Lock()
	s.revision, s.deltaFloor = d.revision, d.deltaFloor
	s.objects, s.tombstones = map[contract.Key]contract.Object{}, nil
	for _, o := range d.objects {
		s.put(o)
	}
	s.results, s.resultOrder = map[string]changeResult{}, nil
	for _, r := range d.results {
		s.storeResult(r)
	}
	s.current.Store(s.revision)
	s.mu.Unlock()
	s.notifyListeners(contract.NewDelta(0, d.revision, d.objects, true))
	return nil
}
