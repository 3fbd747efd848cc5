// ================================================================
// Linearizable reads: a leader answers a read only after a quorum has responded
// to a heartbeat that was sent after the read arrived. Thus a leader that was
// paused and deposed in the meantime cannot return stale state.
// ================================================================

package controllog

// Read starts a confirmed read. Once it is confirmed, Ready.Reads contains it with the
// given id.
func (r *Replica) Read(id uint64) error {
	if r.role != Leader {
		return r.notLeader()
	}
	if r.config.Faults.UnconfirmedReads {
		r.confirmedReads = append(r.confirmedReads, Read{id, r.hardState.commit})
		return nil
	}
	r.readRound++
	// Until an entry of this term is committed, the commit index may be lower than
	// what a former leader has acknowledged; firstIndexOfTerm never is.
	index := max(r.hardState.commit, r.firstIndexOfTerm)
	r.pendingReads = append(r.pendingReads, pendingRead{id: id, index: index, round: r.readRound})
	r.broadcastHeartbeat()
	r.confirmReads()
	return nil
}

// confirmReads confirms the pending reads whose round a quorum has responded to.
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
