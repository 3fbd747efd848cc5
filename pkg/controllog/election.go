// ================================================================
// Elections. A replica that hears no leader asks first whether it would win
// (pre-vote); only then does it raise the term. So a member that was cut off
// and comes back, or one that was removed, does not depose a working leader.
// ================================================================

package controllog

func (r *Replica) canCampaign() bool {
	v, ok := r.voter(r.config.Self)
	return ok && !v.learner
}

func (r *Replica) preCampaign() {
	r.role, r.leader = PreCandidate, ""
	r.resetTimeout()
	r.startVote(MessagePreVote, r.hard.term+1)
	r.countVotes()
}

func (r *Replica) campaign() {
	r.role, r.leader = Candidate, ""
	r.hard.term++
	r.hard.vote = r.config.Self
	r.resetTimeout()
	r.startVote(MessageVote, r.hard.term)
	r.countVotes()
}

func (r *Replica) startVote(kind MessageKind, term uint64) {
	r.votes = map[MemberID]bool{r.config.Self: true}
	for _, v := range r.Voters() {
		if v.learner || v.Member() == r.config.Self {
			continue
		}
		r.send(Message{kind: kind, to: v.Member(), term: term, index: r.log.last(), logTerm: r.log.lastTerm()})
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
		r.becomeFollower(r.hard.term, "")
	}
}

func (r *Replica) becomeLeader() {
	r.role, r.leader = Leader, r.config.Self
	r.ticks, r.quorumTicks = 0, 0
	r.reads, r.readRound = nil, 0
	r.progress = map[MemberID]*progress{}
	r.syncProgress()
	r.appendOwn(EntryNothing, nil)
	r.firstOfTerm = r.log.last()
	r.broadcastAppend()
	r.advanceCommit()
}

// ----------------------------------------------------------------
// Answers

// stepVote answers a vote or a pre-vote.
func (r *Replica) stepVote(m Message) {
	answer := MessageVoteAnswer
	if m.kind == MessagePreVote {
		answer = MessagePreVoteAnswer
	}
	grant := r.grants(m)
	if grant && m.kind == MessageVote {
		r.hard.vote = m.from
		r.resetTimeout()
	}
	reply := Message{kind: answer, to: m.from, reject: !grant}
	if grant {
		// A granted pre-vote names the term that was asked for.
		reply.term = m.term
	}
	r.send(reply)
}

func (r *Replica) grants(m Message) bool {
	if m.term < r.hard.term || !r.log.upToDate(m.index, m.logTerm) {
		return false
	}
	if m.kind == MessagePreVote {
		return m.term > r.hard.term && !r.hearsLeader()
	}
	free := r.hard.vote == "" || r.hard.vote == m.from || r.config.Faults.VoteTwice
	return free && r.leader == ""
}

// hearsLeader tells whether a leader was heard from so lately that another
// campaign is not called for.
func (r *Replica) hearsLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.ticks < r.config.ElectionTicks
}

// stepVoteAnswer counts an answer to the vote that is going on.
func (r *Replica) stepVoteAnswer(m Message) {
	expected := map[MessageKind]Role{MessagePreVoteAnswer: PreCandidate, MessageVoteAnswer: Candidate}
	if r.role != expected[m.kind] {
		return
	}
	r.votes[m.from] = !m.reject
	r.countVotes()
}
