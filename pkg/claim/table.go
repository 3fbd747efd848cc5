// ================================================================
// The table of claims records which attempt may run a request that must not
// run twice, and the request's outcome.
//
//	(larder, order-4711) -> attempt entry-2/77, running, until 09:15:00
//
// Only the control log changes the table, with the log's time instead of a
// local clock. All voters therefore hold the same table, and the first claim
// of a key in the log wins.
// ================================================================

// Package claim holds the claims on requests that must not run more than once.
package claim

import (
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

const (
	shardCount = 64
	// Retention is how long a claim is kept after its deadline, in nanoseconds.
	// One hour is far above the longest deadline that the settings allow.
	Retention int64 = 3600 * 1e9
)

// record is one claim and, once it is settled, its outcome.
//
//wire:generate
type record struct {
	// organisation is the organisation that sent the request.
	organisation string
	// key is the idempotency key of the request within the organisation.
	key string
	// attempt identifies the attempt that holds the claim.
	attempt string
	// body is the digest of the request.
	body contract.Digest
	// deadline is the request's deadline, in nanoseconds since the Unix epoch.
	deadline int64
	// settled is true when the request ran and outcome is set; outcome may say that the
	// response was lost.
	settled bool
	// outcome is the stored response.
	outcome contract.Outcome
}

// claimKey identifies a claim.
type claimKey struct{ organisation, key string }

// shard is a part of the table with a lock of its own.
type shard struct {
	mu             sync.RWMutex
	records        map[claimKey]*record
	insertionOrder []claimKey // may name claims that were released since
}

// Table holds the claims, sharded by the hash of organisation and key. It is safe for
// concurrent use.
type Table struct {
	shards [shardCount]*shard
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i] = &shard{records: map[claimKey]*record{}}
	}
	return t
}

func (t *Table) shard(id claimKey) *shard {
	return t.shards[xxhash.Sum64String(id.organisation+"\x00"+id.key)%shardCount]
}

// Acquire claims a request at the log time now. The first claim of a key is granted; a
// retried claim of the same attempt is granted again.
func (t *Table) Acquire(c contract.Claim, now int64) contract.ClaimResult {
	id := claimKey{c.Organisation(), c.Key()}
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	r := s.records[id]
	if r == nil {
		if c.Deadline() <= now {
			return contract.NewClaimResult(0, contract.Outcome{},
				failure.New(failure.DeadlineExceeded, "the deadline passed before the claim was accepted"))
		}
		s.records[id] = &record{
			organisation: id.organisation, key: id.key, attempt: c.Attempt(), body: c.Body(), deadline: c.Deadline(),
		}
		s.insertionOrder = append(s.insertionOrder, id)
		return contract.NewClaimResult(contract.ClaimGranted, contract.Outcome{}, nil)
	}
	return r.resultFor(c, now)
}

// resultFor returns the result of a claim whose key already has a record.
//
// If the holder was lost before it settled the claim, the claim counts as
// running until its deadline and as done with an unknown outcome after it. It
// is never granted to another attempt, because the request may have run.
func (r *record) resultFor(c contract.Claim, now int64) contract.ClaimResult {
	switch {
	case r.body != c.Body():
		return contract.NewClaimResult(0, contract.Outcome{},
			failure.New(failure.KeyReused, "idempotency key %q", c.Key()))
	case r.settled:
		return contract.NewClaimResult(contract.ClaimDone, r.outcome, nil)
	case r.attempt == c.Attempt():
		return contract.NewClaimResult(contract.ClaimGranted, contract.Outcome{}, nil)
	case now > r.deadline:
		return contract.NewClaimResult(contract.ClaimDone, contract.Outcome{}, nil)
	default:
		return contract.NewClaimResult(contract.ClaimRunning, contract.Outcome{}, nil)
	}
}

// Settle stores the outcome of an attempt's claim, or releases the claim if the
// request did not run. It returns false when the attempt does not hold an
// unsettled claim.
func (t *Table) Settle(s contract.ClaimSettlement, now int64) bool {
	id := claimKey{s.Organisation(), s.Key()}
	sh := t.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.expire(now)
	r := sh.records[id]
	if r == nil || r.attempt != s.Attempt() || r.settled {
		return false
	}
	if !s.Ran() {
		delete(sh.records, id)
		return true
	}
	r.settled, r.outcome = true, s.Outcome()
	return true
}

// expire deletes claims past their retention. Claims are inserted roughly in
// the order of their deadlines, so it stops at the first one that is retained.
func (s *shard) expire(now int64) {
	for len(s.insertionOrder) > 0 {
		r := s.records[s.insertionOrder[0]]
		if r != nil && r.deadline+Retention > now {
			return
		}
		if r != nil {
			delete(s.records, s.insertionOrder[0])
		}
		s.insertionOrder = s.insertionOrder[1:]
	}
}

// Len returns the number of claims.
func (t *Table) Len() int {
	n := 0
	for _, s := range t.shards {
		s.mu.RLock()
		n += len(s.records)
		s.mu.RUnlock()
	}
	return n
}

// Snapshot returns all claims, encoded in the order of deadline, organisation and key.
func (t *Table) Snapshot() ([]byte, error) {
	var records []record
	for _, s := range t.shards {
		s.mu.RLock()
		for _, r := range s.records {
			records = append(records, *r)
		}
		s.mu.RUnlock()
	}
	sort.Slice(records, func(i, j int) bool {
		a, b := records[i], records[j]
		if a.deadline != b.deadline {
			return a.deadline < b.deadline
		}
		return a.organisation+"\x00"+a.key < b.organisation+"\x00"+b.key
	})
	return msgpack.Marshal(records)
}

// Restore replaces all claims by those of a snapshot.
func (t *Table) Restore(raw []byte) error {
	var records []record
	if err := msgpack.Unmarshal(raw, &records); err != nil {
		return failure.New(failure.CorruptLog, "the claims in a snapshot cannot be decoded: %v", err)
	}
	for _, s := range t.shards {
		s.mu.Lock()
		s.records, s.insertionOrder = map[claimKey]*record{}, nil
		s.mu.Unlock()
	}
	for i := range records {
		id := claimKey{records[i].organisation, records[i].key}
		s := t.shard(id)
		s.mu.Lock()
		s.records[id] = &records[i]
		s.insertionOrder = append(s.insertionOrder, id)
		s.mu.Unlock()
	}
	return nil
}
