// ================================================================
// Replication of entries to the members, and the commit rule.
//
// A leader sends entries ahead of the acknowledgements (next is greater than
// match). It goes back to match when match did not advance between two
// heartbeat responses. Lost messages need no other handling.
// ================================================================

package controllog

import "sort"

// ----------------------------------------------------------------
// Leader

func (r *Replica) broadcastAppend() {
	for _, m := range sortedMembers(r.progress) {
		r.sendAppend(m)
	}
}

// sendAppend sends the entries that the member lacks, limited by maxInFlight and
// maxAppendBytes, or starts a snapshot.
func (r *Replica) sendAppend(to MemberID) {
	p := r.progress[to]
	if p == nil {
		// A preceding commit made this replica step down or removed the member.
		return
	}
	if to == r.config.Self || p.outgoingSnapshot != nil || p.next > r.log.last() || p.next > p.match+maxInFlight {
		return
	}
	before := p.next - 1
	term, ok := r.log.term(before)
	if !ok || r.snapshotIsSmaller(p.next) {
		r.startSnapshot(to)
		return
	}
	entries := r.log.slice(p.next, r.log.last(), maxAppendBytes)
	r.send(Message{kind: MessageAppend, to: to, index: before, logTerm: term, entries: entries, commit: r.hardState.commit})
	p.next += uint64(len(entries))
}

func (r *Replica) broadcastHeartbeat() {
	for _, m := range sortedMembers(r.progress) {
		if m == r.config.Self {
			continue
		}
		commit := min(r.hardState.commit, r.progress[m].match)
		r.send(Message{kind: MessageHeartbeat, to: m, commit: commit, round: r.readRound})
	}
}

func (r *Replica) stepAppendResponse(m Message) {
	p := r.progress[m.from]
	if r.role != Leader || p == nil {
		return
	}
	r.recordResponse(p)
	if m.reject {
		p.next = max(p.match+1, min(p.next-1, m.index+1))
		r.sendAppend(m.from)
		return
	}
	if m.index > p.match {
		p.match = m.index
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	r.sendAppend(m.from)
}

func (r *Replica) stepHeartbeatResponse(m Message) {
	p := r.progress[m.from]
	if r.role != Leader || p == nil || m.reject {
		return
	}
	r.recordResponse(p)
	p.readRound = max(p.readRound, m.round)
	r.confirmReads()
	if p.match == p.lastMatch && p.match < r.log.last() {
		p.next = p.match + 1
		r.resendSnapshotPart(m.from)
		r.sendAppend(m.from)
	}
	p.lastMatch = p.match
}

// advanceCommit commits the entries that a quorum has synced. Replicas are counted
// only for an entry of the leader's own term; earlier entries are committed with
// it.
func (r *Replica) advanceCommit() {
	var matches []uint64
	for _, v := range r.Members() {
		if !v.learner {
			matches = append(matches, r.matchOf(v.MemberID()))
		}
	}
	if len(matches) == 0 {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	commit := matches[len(matches)/2]
	term, ok := r.log.term(commit)
	if !ok || commit <= r.hardState.commit {
		return
	}
	if term != r.hardState.term && !r.config.Faults.CommitOldTerms {
		return
	}
	r.advanceCommitTo(commit)
	// Followers learn the commit index now instead of with the next heartbeat, so
	// that they apply a change one message later.
	r.broadcastHeartbeat()
	r.stepDownIfRemoved()
}

func (r *Replica) matchOf(m MemberID) uint64 {
	if m == r.config.Self {
		return r.stableIndex
	}
	if p := r.progress[m]; p != nil {
		return p.match
	}
	return 0
}

// ----------------------------------------------------------------
// Follower

func (r *Replica) stepAppend(m Message) error {
	r.followLeader(m)
	if m.index < r.hardState.commit {
		r.send(Message{kind: MessageAppendResponse, to: m.from, index: r.hardState.commit})
		return nil
	}
	if term, ok := r.log.term(m.index); !ok || term != m.logTerm {
		if ok && m.index <= r.hardState.commit {
			// A request for earlier entries would repeat without end.
			return r.checkTruncation(m.index)
		}
		hint := min(m.index-1, r.log.last())
		r.send(Message{kind: MessageAppendResponse, to: m.from, reject: true, index: max(hint, r.hardState.commit)})
		return nil
	}
	if err := r.appendReceived(m.entries); err != nil {
		return err
	}
	last := m.index + uint64(len(m.entries))
	r.advanceCommitTo(min(m.commit, last))
	r.send(Message{kind: MessageAppendResponse, to: m.from, index: last})
	return nil
}

// appendReceived appends the new entries and replaces those that differ.
func (r *Replica) appendReceived(entries []Entry) error {
	for i, e := range entries {
		if term, ok := r.log.term(e.index); ok && term == e.term {
			continue
		}
		if e.index <= r.log.last() {
			if err := r.checkTruncation(e.index); err != nil {
				return err
			}
			r.log.truncate(e.index)
			r.stableIndex = min(r.stableIndex, e.index-1)
			r.dropMembersFrom(e.index)
		}
		r.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			if added.kind == EntryMembers {
				r.memberHistory = append(r.memberHistory, indexedMembers{added.index, decodeMembers(added.data)})
			}
		}
		return nil
	}
	return nil
}

func (r *Replica) stepHeartbeat(m Message) {
	r.followLeader(m)
	r.advanceCommitTo(m.commit)
	r.send(Message{kind: MessageHeartbeatResponse, to: m.from, round: m.round})
}
