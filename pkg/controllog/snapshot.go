// ================================================================
// Snapshots, which replace the start of the log on disk and in transfers. A
// snapshot is sent in parts, each requested by the response to the one before,
// so that it does not delay heartbeats.
// ================================================================

package controllog

import "github.com/vmihailenco/msgpack/v5"

// snapshotPartSize is the size of the data of one part, in bytes.
const snapshotPartSize = 512 << 10

// trailingEntries is the number of entries before a snapshot that stay in memory
// and on disk, so that a member that lags by less does not need the snapshot.
const trailingEntries = 512

// trailingBytes bounds the data of those entries. An entry can hold a whole
// configuration, and 512 of these would be kept otherwise.
const trailingBytes = 4 << 20

// MakeSnapshot returns a snapshot of state, which is the state after the applied index.
func (r *Replica) MakeSnapshot(index uint64, state []byte) Snapshot {
	term, _ := r.log.term(index)
	return Snapshot{index: index, term: term, members: r.membersAt(index), state: state}
}

// Compact replaces entries by the snapshot s and returns the entries that stay in
// the log.
func (r *Replica) Compact(s Snapshot) []Entry {
	r.snapshot = s
	r.log.compact(r.log.compactIndex(s.index, trailingEntries, trailingBytes))
	r.rebuildMemberHistory()
	return r.log.entries
}

// ----------------------------------------------------------------
// Leader

// snapshotIsSmaller reports whether the state in the snapshot has less than half the
// bytes of the entries that the snapshot covers from the index from on. When each entry
// holds a whole configuration, only the last one matters: sent entry by entry to a member
// with an empty disk, the log was twenty times the size of the state, and it took up to
// 6 s until all members were voters again.
func (r *Replica) snapshotIsSmaller(from uint64) bool {
	if from > r.snapshot.index {
		return false
	}
	bytes := 0
	for _, e := range r.log.slice(from, r.snapshot.index, 1<<62) {
		bytes += len(e.data)
	}
	return bytes > 2*len(r.snapshot.state)
}

// startSnapshot starts to send the snapshot to a member.
func (r *Replica) startSnapshot(to MemberID) {
	p := r.progress[to]
	encoded, err := msgpack.Marshal(r.snapshot)
	if err != nil || r.snapshot.index == 0 {
		return
	}
	s := r.snapshot
	p.outgoingSnapshot, p.encodedSnapshot, p.sentOffset, p.lastOffset = &s, encoded, 0, -1
	r.sendSnapshotPart(to, 0)
}

func (r *Replica) sendSnapshotPart(to MemberID, offset int64) {
	p := r.progress[to]
	end := min(offset+snapshotPartSize, int64(len(p.encodedSnapshot)))
	if offset < 0 || offset > end {
		return
	}
	p.sentOffset = offset
	r.send(Message{kind: MessageSnapshot, to: to, snapshot: SnapshotPart{
		index: p.outgoingSnapshot.index, term: p.outgoingSnapshot.term, offset: offset,
		data: p.encodedSnapshot[offset:end], last: end == int64(len(p.encodedSnapshot)),
	}})
}

// resendSnapshotPart is called for heartbeat responses of a member that makes no progress.
// It sends the last part again if the same part was the last one at the previous call; a
// part that was sent since may still be in flight.
func (r *Replica) resendSnapshotPart(to MemberID) {
	p := r.progress[to]
	if p.outgoingSnapshot == nil {
		return
	}
	if p.lastOffset == p.sentOffset {
		r.sendSnapshotPart(to, p.sentOffset)
	}
	p.lastOffset = p.sentOffset
}

func (r *Replica) stepSnapshotResponse(m Message) {
	p := r.progress[m.from]
	if r.role != Leader || p == nil {
		return
	}
	r.recordResponse(p)
	if p.outgoingSnapshot == nil || p.outgoingSnapshot.index != m.snapshot.index {
		return
	}
	if !m.snapshot.last {
		// The response to a part that was sent twice requests one that is already in flight.
		if m.snapshot.offset != p.sentOffset {
			r.sendSnapshotPart(m.from, m.snapshot.offset)
		}
		return
	}
	p.match = max(p.match, m.index)
	p.next = p.match + 1
	p.outgoingSnapshot, p.encodedSnapshot = nil, nil
	r.advanceCommit()
	r.sendAppend(m.from)
}

// ----------------------------------------------------------------
// Follower

func (r *Replica) stepSnapshot(m Message) {
	r.followLeader(m)
	part := m.snapshot
	if r.coversSnapshot(part) {
		r.advanceCommitTo(part.index)
		r.sendSnapshotResponse(m, SnapshotPart{index: part.index, last: true})
		return
	}
	if part.offset == 0 || part.index != r.incomingSnapshotIndex {
		r.incomingSnapshot, r.incomingSnapshotIndex = nil, part.index
	}
	if part.offset == int64(len(r.incomingSnapshot)) {
		r.incomingSnapshot = append(r.incomingSnapshot, part.data...)
	}
	complete := part.last && part.offset+int64(len(part.data)) == int64(len(r.incomingSnapshot))
	if !complete {
		r.sendSnapshotResponse(m, SnapshotPart{index: part.index, offset: int64(len(r.incomingSnapshot))})
		return
	}
	if !r.installReceivedSnapshot() {
		return
	}
	r.sendSnapshotResponse(m, SnapshotPart{index: part.index, last: true})
}

// coversSnapshot reports whether the log contains all entries that a snapshot replaces.
// The member then keeps its log, even if it does not know yet that these entries are
// committed. A reset of the log to the snapshot would drop the entries after it, and the
// member may have been counted in the quorum that committed them.
func (r *Replica) coversSnapshot(part SnapshotPart) bool {
	term, known := r.log.term(part.index)
	return part.index <= r.hardState.commit || known && term == part.term
}

func (r *Replica) sendSnapshotResponse(m Message, part SnapshotPart) {
	r.send(Message{kind: MessageSnapshotResponse, to: m.from, index: r.hardState.commit, snapshot: part})
}

// installReceivedSnapshot resets the log to the received snapshot. The runner stores the
// snapshot before it sends the response.
func (r *Replica) installReceivedSnapshot() bool {
	var s Snapshot
	err := msgpack.Unmarshal(r.incomingSnapshot, &s)
	r.incomingSnapshot, r.incomingSnapshotIndex = nil, 0
	if err != nil || s.index <= r.hardState.commit {
		return false
	}
	r.snapshot = s
	r.log.reset(s.index, s.term)
	r.stableIndex = s.index
	r.appliedIndex = s.index
	r.memberHistory = nil
	r.hardState.commit = s.index
	r.snapshotToInstall = &s
	return true
}
