// ================================================================
// Snapshots: what stands for the start of the log, on disk and in transit.
// A snapshot goes over in parts, each asked for by the answer to the one
// before, so that it never holds up heartbeats.
// ================================================================

package controllog

import "github.com/vmihailenco/msgpack/v5"

// snapshotPartSize is the data of one part, in bytes.
const snapshotPartSize = 512 << 10

// trailingEntries stay in memory and on disk behind a snapshot, for members
// that lag by less than that.
const trailingEntries = 512

// trailingBytes bounds the data of those entries: a log of whole
// configurations would else keep 512 of them.
const trailingBytes = 4 << 20

// MakeSnapshot returns a snapshot of state as of an applied index.
func (r *Replica) MakeSnapshot(index uint64, state []byte) Snapshot {
	term, _ := r.log.term(index)
	return Snapshot{index: index, term: term, members: r.membersAt(index), state: state}
}

// Compact takes a stored snapshot in place of the entries that it covers, and
// returns the entries that stay.
func (r *Replica) Compact(s Snapshot) []Entry {
	r.snapshot = s
	r.log.compact(r.log.compactIndex(s.index, trailingEntries, trailingBytes))
	r.rebuildMemberHistory()
	return r.log.entries
}

// ----------------------------------------------------------------
// Leader

// snapshotIsSmaller tells whether the snapshot is less than half the bytes of the entries from an
// index on that it stands for. Of a log of whole configurations one counts: sent entry by
// entry to a member with an empty disk it was twenty times the state, and the voters were
// whole again after up to 6 s.
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

// resendSnapshotPart repeats the last part when nothing was heard of it for a whole
// heartbeat: one that has just gone out is on its way.
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
		// The answer to a part that went out twice asks for one that is on its way.
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

// coversSnapshot tells whether the log has all that a snapshot stands for. A member that knows of
// fewer commits than there are keeps what it has then: to start its log anew from the
// snapshot would drop entries behind it that a quorum was counted with.
func (r *Replica) coversSnapshot(part SnapshotPart) bool {
	term, known := r.log.term(part.index)
	return part.index <= r.hardState.commit || known && term == part.term
}

func (r *Replica) sendSnapshotResponse(m Message, part SnapshotPart) {
	r.send(Message{kind: MessageSnapshotResponse, to: m.from, index: r.hardState.commit, snapshot: part})
}

// installReceivedSnapshot takes the received snapshot over; the shell stores it before the
// answer goes out.
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
