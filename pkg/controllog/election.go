// ================================================================
// Leader election with a pre-vote: a replica without a leader first asks
// whether it would win, and raises the term only then. Thus a member that
// returns from a network partition, or one that was removed, does not depose a
// working leader.
// ================================================================

package controllog

// canCampaign reports whether the replica is a voter.
func (r *Replica) canCampaign() bool {
	v, ok := r.member(r.config.Self)
	return ok && !v.learner
}

// preCampaign starts a pre-vote for the next term.
func (r *Replica) preCampaign() {
	r.role, r.leader = PreCandidate, ""
	r.resetTimeout()
	r.requestVotes(MessagePreVote, r.hardState.term+1)
	r.countVotes()
}

// campaign enters the next term as a candidate and requests votes.
func (r *Replica) campaign() {
	r.role, r.leader = Candidate, ""
	r.hardState.term++
	r.hardState.vote = r.config.Self
	r.resetTimeout()
	r.requestVotes(MessageVote, r.hardState.term)
	r.countVotes()
}

func (r *Replica) requestVotes(kind MessageKind, term uint64) {
	r.votes = map[MemberID]bool{r.config.Self: true}
	for _, v := range r.Members() {
		if v.learner || v.MemberID() == r.config.Self {
			continue
		}
		r.send(Message{kind: kind, to: v.MemberID(), term: term, index: r.log.last(), logTerm: r.log.lastTerm()})
	}
}

func (r *Replica) countVotes() {
	won := r.quorum(func(m MemberID) bool { return r.votes[m] })
	lost := r.quorum(func(m MemberID) bool { granted, responded := r.votes[m]; return responded && !granted })
	switch {
	case won && r.role == PreCandidate:
		r.campaign()
	case won && r.role == Candidate:
		r.becomeLeader()
	case lost:
		r.becomeFollower(r.hardState.term, "")
	}
}

func (r *Replica) becomeLeader() {
	r.role, r.leader = Leader, r.config.Self
	r.ticksSinceReset, r.ticksSinceQuorumCheck = 0, 0
	r.pendingReads, r.readRound = nil, 0
	r.progress = map[MemberID]*progress{}
	r.syncProgress()
	r.appendEntry(EntryNoOp, nil)
	r.firstIndexOfTerm = r.log.last()
	r.broadcastAppend()
	r.advanceCommit()
}

// ----------------------------------------------------------------
// Vote requests and responses

// stepVote handles a vote or pre-vote request.
func (r *Replica) stepVote(m Message) {
	responseKind := MessageVoteResponse
	if m.kind == MessagePreVote {
		responseKind = MessagePreVoteResponse
	}
	granted := r.grantsVote(m)
	if granted && m.kind == MessageVote {
		r.hardState.vote = m.from
		r.resetTimeout()
	}
	response := Message{kind: responseKind, to: m.from, reject: !granted}
	if granted {
		// The response to a granted pre-vote carries the requested term.
		response.term = m.term
	}
	r.send(response)
}

func (r *Replica) grantsVote(m Message) bool {
	if m.term < r.hardState.term || !r.log.upToDate(m.index, m.logTerm) {
		return false
	}
	if m.kind == MessagePreVote {
		return m.term > r.hardState.term && !r.hasActiveLeader()
	}
	free := r.hardState.vote == "" || r.hardState.vote == m.from || r.config.Faults.VoteTwice
	return free && r.leader == ""
}

// hasActiveLeader reports whether the replica leads or has received a message
// from a leader within the shortest election timeout.
func (r *Replica) hasActiveLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.ticksSinceReset < r.config.ElectionTicks
}

// stepVoteResponse counts a response to the current vote or pre-vote.
func (r *Replica) stepVoteResponse(m Message) {
	expected := map[MessageKind]Role{MessagePreVoteResponse: PreCandidate, MessageVoteResponse: Candidate}
	if r.role != expected[m.kind] {
		return
	}
	r.votes[m.from] = !m.reject
	r.countVotes()
}
