// ================================================================
// Claims: who may run a request that must not run twice, and what came of it.
//
//	(larder, order-4711) -> attempt entry-2/77, running, until 09:15:00
//
// The table is fed by the control log only, so all voters hold the same one
// and the first claim in the log wins. Time is the log's, never a local clock.
//
// A claim whose holder was lost stays "running" until its deadline, and from
// then on counts as "ran, answer lost": it is never handed out again, since
// nobody can tell that it did not run.
// ================================================================

// Package claim holds the claims of requests that may not be repeated.
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
	// Retention is how long a claim is kept after its deadline, in
	// nanoseconds: an hour, far above the longest deadline that settings allow.
	Retention int64 = 3600 * 1e9
)

// record is one claim.
//
//wire:generate
type record struct {
	// organisation and key identify the claim.
	organisation string
	key          string
	// attempt holds it.
	attempt string
	// body is the digest of the request.
	body contract.Digest
	// deadline is the request's, in nanoseconds since 1970.
	deadline int64
	// settled says that the outcome is known, or known to be lost.
	settled bool
	// outcome is the stored answer.
	outcome contract.Outcome
}

// claimKey is what a claim is found by.
type claimKey struct{ organisation, key string }

// shard is a part of the table under its own lock.
type shard struct {
	mu             sync.RWMutex
	records        map[claimKey]*record
	insertionOrder []claimKey
}

// Table holds the claims, in shards by hash of organisation and key.
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

// Acquire claims a request at log time now. The first claim of a key wins; a
// resend of the winning attempt is granted again.
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

// resultFor answers a claim for a key that is known.
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

// Settle ends the claim of an attempt. It returns false when the attempt does
// not hold it.
func (t *Table) Settle(s contract.Settle, now int64) bool {
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

// expire forgets claims past their retention. Records come almost in the
// order of their deadlines, so looking at the head is enough.
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

// Len counts the claims.
func (t *Table) Len() int {
	n := 0
	for _, s := range t.shards {
		s.mu.RLock()
		n += len(s.records)
		s.mu.RUnlock()
	}
	return n
}

// Snapshot returns all claims, encoded in one order.
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

// Restore replaces all claims.
func (t *Table) Restore(raw []byte) error {
	var records []record
	if err := msgpack.Unmarshal(raw, &records); err != nil {
		return failure.New(failure.CorruptLog, "the claims in a snapshot cannot be read: %v", err)
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
