// ================================================================
// What a replica wants done after each input: what to write, what to send before and
// after it, what to apply and whom to answer.
// ================================================================

package controllog

// Ready is what a replica wants done, in the order of its fields.
type Ready struct {
	// MessagesBeforeSync are messages that may be sent before anything is written.
	MessagesBeforeSync []Message
	// Snapshot is a snapshot to store and to restore the state from; or nil.
	Snapshot *Snapshot
	// HardState is to be written when Changed.
	HardState        HardState
	HardStateChanged bool
	// Entries are to be written; an index that was written before is
	// overwritten, and all after it are void.
	Entries []Entry
	// MessagesAfterSync are sent once all above is synced.
	MessagesAfterSync []Message
	// Committed are to be applied in order.
	Committed []Entry
	// Reads may be answered once Committed is applied.
	Reads []Read
}

// Ready returns what is to be done now and forgets it.
func (r *Replica) Ready() Ready {
	out := Ready{
		Snapshot:         r.snapshotToInstall,
		HardState:        r.hardState,
		HardStateChanged: r.hardState.term != r.savedHardState.term || r.hardState.vote != r.savedHardState.vote,
		Entries:          r.log.slice(r.stableIndex+1, r.log.last(), 1<<62),
		Reads:            r.confirmedReads,
	}
	for _, m := range r.messages {
		if m.kind == MessageAppend || m.kind == MessageHeartbeat {
			out.MessagesBeforeSync = append(out.MessagesBeforeSync, m)
		} else {
			out.MessagesAfterSync = append(out.MessagesAfterSync, m)
		}
	}
	if r.appliedIndex < r.hardState.commit {
		out.Committed = r.log.slice(r.appliedIndex+1, min(r.hardState.commit, r.stableIndex), 1<<62)
		r.appliedIndex += uint64(len(out.Committed))
	}
	r.snapshotToInstall, r.messages, r.confirmedReads = nil, nil, nil
	r.savedHardState = r.hardState
	return out
}

// HasReady tells whether Ready has anything to do.
func (r *Replica) HasReady() bool {
	return r.snapshotToInstall != nil || len(r.messages) > 0 || len(r.confirmedReads) > 0 ||
		r.stableIndex < r.log.last() || r.appliedIndex < min(r.hardState.commit, r.stableIndex) ||
		r.hardState.term != r.savedHardState.term || r.hardState.vote != r.savedHardState.vote
}

// Persisted says that the log is synced up to index with its entry of term.
// An entry that was replaced in the meantime does not count.
func (r *Replica) Persisted(index, term uint64) {
	if t, ok := r.log.term(index); !ok || t != term || index <= r.stableIndex {
		return
	}
	r.stableIndex = index
	if r.role == Leader {
		r.advanceCommit()
	}
}
