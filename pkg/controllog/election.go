// ================================================================
// Elections. A replica that hears no leader asks first whether it would win
// (pre-vote); only then does it raise the term. So a member that was cut off
// and comes back, or one that was removed, does not depose a working leader.
// ================================================================

package controllog

func (r *Replica) canCampaign() bool {
	v, ok := r.member(r.config.Self)
	return ok && !v.learner
}

func (r *Replica) preCampaign() {
	r.role, r.leader = PreCandidate, ""
	r.resetTimeout()
	r.requestVotes(MessagePreVote, r.hardState.term+1)
	r.countVotes()
}

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
	lost := r.quorum(func(m MemberID) bool { granted, answered := r.votes[m]; return answered && !granted })
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
// Answers

// stepVote answers a vote or a pre-vote.
func (r *Replica) stepVote(m Message) {
	answer := MessageVoteResponse
	if m.kind == MessagePreVote {
		answer = MessagePreVoteResponse
	}
	grant := r.grantsVote(m)
	if grant && m.kind == MessageVote {
		r.hardState.vote = m.from
		r.resetTimeout()
	}
	reply := Message{kind: answer, to: m.from, reject: !grant}
	if grant {
		// A granted pre-vote names the term that was asked for.
		reply.term = m.term
	}
	r.send(reply)
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

// hasActiveLeader tells whether a leader was heard from so lately that another
// campaign is not called for.
func (r *Replica) hasActiveLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.ticksSinceReset < r.config.ElectionTicks
}

// stepVoteResponse counts an answer to the vote that is going on.
func (r *Replica) stepVoteResponse(m Message) {
	expected := map[MessageKind]Role{MessagePreVoteResponse: PreCandidate, MessageVoteResponse: Candidate}
	if r.role != expected[m.kind] {
		return
	}
	r.votes[m.from] = !m.reject
	r.countVotes()
}
