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
	return Snapshot{index: index, term: term, voters: r.votersAtIndex(index), state: state}
}

// Compact takes a stored snapshot in place of the entries that it covers, and
// returns the entries that stay.
func (r *Replica) Compact(s Snapshot) []Entry {
	r.snapshot = s
	r.log.compact(r.log.trailing(s.index, trailingEntries, trailingBytes))
	r.rebuildHistory()
	return r.log.entries
}

// ----------------------------------------------------------------
// Leader

// snapshotIsShorter tells whether the snapshot is less than half the bytes of the entries from an
// index on that it stands for. Of a log of whole configurations one counts: sent entry by
// entry to a member with an empty disk it was twenty times the state, and the voters were
// whole again after up to 6 s.
func (r *Replica) snapshotIsShorter(from uint64) bool {
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
	p.sending, p.encoded, p.sentOffset, p.beatOffset = &s, encoded, 0, -1
	r.sendSnapshotPart(to, 0)
}

func (r *Replica) sendSnapshotPart(to MemberID, offset int64) {
	p := r.progress[to]
	end := min(offset+snapshotPartSize, int64(len(p.encoded)))
	if offset < 0 || offset > end {
		return
	}
	p.sentOffset = offset
	r.send(Message{kind: MessageSnapshot, to: to, snapshot: SnapshotPart{
		index: p.sending.index, term: p.sending.term, offset: offset,
		data: p.encoded[offset:end], last: end == int64(len(p.encoded)),
	}})
}

// resendSnapshotPart repeats the last part when nothing was heard of it for a whole
// heartbeat: one that has just gone out is on its way.
func (r *Replica) resendSnapshotPart(to MemberID) {
	p := r.progress[to]
	if p.sending == nil {
		return
	}
	if p.beatOffset == p.sentOffset {
		r.sendSnapshotPart(to, p.sentOffset)
	}
	p.beatOffset = p.sentOffset
}

func (r *Replica) stepSnapshotAnswer(m Message) {
	p := r.progress[m.from]
	if r.role != Leader || p == nil {
		return
	}
	r.heard(p)
	if p.sending == nil || p.sending.index != m.snapshot.index {
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
	p.sending, p.encoded = nil, nil
	r.advanceCommit()
	r.sendAppend(m.from)
}

// ----------------------------------------------------------------
// Follower

func (r *Replica) stepSnapshot(m Message) {
	r.followLeader(m)
	part := m.snapshot
	if r.holds(part) {
		r.advanceTo(part.index)
		r.answerSnapshot(m, SnapshotPart{index: part.index, last: true})
		return
	}
	if part.offset == 0 || part.index != r.incomingIndex {
		r.incoming, r.incomingIndex = nil, part.index
	}
	if part.offset == int64(len(r.incoming)) {
		r.incoming = append(r.incoming, part.data...)
	}
	complete := part.last && part.offset+int64(len(part.data)) == int64(len(r.incoming))
	if !complete {
		r.answerSnapshot(m, SnapshotPart{index: part.index, offset: int64(len(r.incoming))})
		return
	}
	if !r.install() {
		return
	}
	r.answerSnapshot(m, SnapshotPart{index: part.index, last: true})
}

// holds tells whether the log has all that a snapshot stands for. A member that knows of
// fewer commits than there are keeps what it has then: to start its log anew from the
// snapshot would drop entries behind it that a quorum was counted with.
func (r *Replica) holds(part SnapshotPart) bool {
	term, known := r.log.term(part.index)
	return part.index <= r.hard.commit || known && term == part.term
}

func (r *Replica) answerSnapshot(m Message, part SnapshotPart) {
	r.send(Message{kind: MessageSnapshotAnswer, to: m.from, index: r.hard.commit, snapshot: part})
}

// install takes the received snapshot over; the shell stores it before the
// answer goes out.
func (r *Replica) install() bool {
	var s Snapshot
	err := msgpack.Unmarshal(r.incoming, &s)
	r.incoming, r.incomingIndex = nil, 0
	if err != nil || s.index <= r.hard.commit {
		return false
	}
	r.snapshot = s
	r.log.reset(s.index, s.term)
	r.stable = s.index
	r.applied = s.index
	r.history = nil
	r.hard.commit = s.index
	r.installSnapshot = &s
	return true
}
