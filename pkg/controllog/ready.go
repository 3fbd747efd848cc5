// ================================================================
// The actions that a replica requests after each input: what to write, what to send
// before and after the write, what to apply, and which reads to answer.
// ================================================================

package controllog

// Ready lists the actions that a replica requests, in the order of its fields.
type Ready struct {
	// MessagesBeforeSync are messages that may be sent before anything is written.
	MessagesBeforeSync []Message
	// Snapshot is a received snapshot to store and to restore the state from, or nil.
	Snapshot *Snapshot
	// HardState is to be written when HardStateChanged is true.
	HardState        HardState
	HardStateChanged bool
	// Entries are to be written. An entry whose index was written before replaces the
	// earlier one and all entries after it.
	Entries []Entry
	// MessagesAfterSync are sent once all of the above is synced.
	MessagesAfterSync []Message
	// Committed are entries to apply in order.
	Committed []Entry
	// Reads are confirmed reads; each may be answered once its index is applied.
	Reads []Read
}

// Ready returns the requested actions and clears them.
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

// HasReady reports whether Ready would return any action.
func (r *Replica) HasReady() bool {
	return r.snapshotToInstall != nil || len(r.messages) > 0 || len(r.confirmedReads) > 0 ||
		r.stableIndex < r.log.last() || r.appliedIndex < min(r.hardState.commit, r.stableIndex) ||
		r.hardState.term != r.savedHardState.term || r.hardState.vote != r.savedHardState.vote
}

// Persisted informs the replica that its log is synced up to the entry with the
// given index and term. It has no effect if that entry was replaced since.
func (r *Replica) Persisted(index, term uint64) {
	if t, ok := r.log.term(index); !ok || t != term || index <= r.stableIndex {
		return
	}
	r.stableIndex = index
	if r.role == Leader {
		r.advanceCommit()
	}
}
