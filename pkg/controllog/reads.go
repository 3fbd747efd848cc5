// ================================================================
// Confirmed reads: a leader answers a read only after a quorum has said, in a
// heartbeat sent after the read came, that it still leads. A leader that was
// frozen and thaws can thus not answer with what was true before.
// ================================================================

package controllog

// Read asks for a confirmed read; it comes back in Ready.Reads under its id.
func (r *Replica) Read(id uint64) error {
	if r.role != Leader {
		return r.notLeader()
	}
	if r.config.Faults.UnconfirmedReads {
		r.confirmedReads = append(r.confirmedReads, Read{id, r.hardState.commit})
		return nil
	}
	r.readRound++
	// Until an entry of this term is committed, the commit index may be behind
	// what a former leader has acknowledged; firstOfTerm is never behind it.
	index := max(r.hardState.commit, r.firstIndexOfTerm)
	r.pendingReads = append(r.pendingReads, pendingRead{id: id, index: index, round: r.readRound})
	r.broadcastHeartbeat()
	r.confirmReads()
	return nil
}

// confirmReads lets go of the reads whose round a quorum has answered.
func (r *Replica) confirmReads() {
	for len(r.pendingReads) > 0 {
		first := r.pendingReads[0]
		confirmed := r.quorum(func(m MemberID) bool {
			return m == r.config.Self || r.progress[m] != nil && r.progress[m].readRound >= first.round
		})
		if !confirmed {
			return
		}
		r.confirmedReads = append(r.confirmedReads, Read{first.id, first.index})
		r.pendingReads = r.pendingReads[1:]
	}
}
