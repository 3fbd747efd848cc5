// ================================================================
// What a replica wants done after each input: what to write, what to send before and
// after it, what to apply and whom to answer.
// ================================================================

package controllog

// Ready is what a replica wants done, in the order of its fields.
type Ready struct {
	// AppendFirst are messages that may be sent before anything is written.
	AppendFirst []Message
	// Install is a snapshot to store and to restore the state from; or nil.
	Install *Snapshot
	// HardState is to be written when Changed.
	HardState HardState
	Changed   bool
	// Entries are to be written; an index that was written before is
	// overwritten, and all after it are void.
	Entries []Entry
	// Messages are sent once all above is synced.
	Messages []Message
	// Committed are to be applied in order.
	Committed []Entry
	// Reads may be answered once Committed is applied.
	Reads []Read
}

// Ready returns what is to be done now and forgets it.
func (r *Replica) Ready() Ready {
	out := Ready{
		Install:   r.installSnapshot,
		HardState: r.hard,
		Changed:   r.hard.term != r.saved.term || r.hard.vote != r.saved.vote,
		Entries:   r.log.slice(r.stable+1, r.log.last(), 1<<62),
		Reads:     r.released,
	}
	for _, m := range r.messages {
		if m.kind == MessageAppend || m.kind == MessageHeartbeat {
			out.AppendFirst = append(out.AppendFirst, m)
		} else {
			out.Messages = append(out.Messages, m)
		}
	}
	if r.applied < r.hard.commit {
		out.Committed = r.log.slice(r.applied+1, min(r.hard.commit, r.stable), 1<<62)
		r.applied += uint64(len(out.Committed))
	}
	r.installSnapshot, r.messages, r.released = nil, nil, nil
	r.saved = r.hard
	return out
}

// HasReady tells whether Ready has anything to do.
func (r *Replica) HasReady() bool {
	return r.installSnapshot != nil || len(r.messages) > 0 || len(r.released) > 0 ||
		r.stable < r.log.last() || r.applied < min(r.hard.commit, r.stable) ||
		r.hard.term != r.saved.term || r.hard.vote != r.saved.vote
}

// Persisted says that the log is synced up to index with its entry of term.
// An entry that was replaced in the meantime does not count.
func (r *Replica) Persisted(index, term uint64) {
	if t, ok := r.log.term(index); !ok || t != term || index <= r.stable {
		return
	}
	r.stable = index
	if r.role == Leader {
		r.advanceCommit()
	}
}
