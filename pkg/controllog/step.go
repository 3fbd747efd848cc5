// ================================================================
// Incoming messages: the term rules first, then one handler a kind.
// ================================================================

package controllog

// steps is the table of handlers.
var steps = map[MessageKind]func(*Replica, Message) error{
	MessagePreVote:         func(r *Replica, m Message) error { r.stepVote(m); return nil },
	MessageVote:            func(r *Replica, m Message) error { r.stepVote(m); return nil },
	MessagePreVoteAnswer:   func(r *Replica, m Message) error { r.stepVoteAnswer(m); return nil },
	MessageVoteAnswer:      func(r *Replica, m Message) error { r.stepVoteAnswer(m); return nil },
	MessageAppend:          (*Replica).stepAppend,
	MessageAppendAnswer:    func(r *Replica, m Message) error { r.stepAppendAnswer(m); return nil },
	MessageHeartbeat:       func(r *Replica, m Message) error { r.stepHeartbeat(m); return nil },
	MessageHeartbeatAnswer: func(r *Replica, m Message) error { r.stepHeartbeatAnswer(m); return nil },
	MessageSnapshot:        func(r *Replica, m Message) error { r.stepSnapshot(m); return nil },
	MessageSnapshotAnswer:  func(r *Replica, m Message) error { r.stepSnapshotAnswer(m); return nil },
}

// Step takes a message in. It returns an error only when an invariant broke;
// the voter must then stop.
func (r *Replica) Step(m Message) error {
	if m.to != r.config.Self && !r.config.Faults.AnyIncarnation {
		return nil
	}
	if m.term > r.hard.term {
		if !r.enterTerm(m) {
			return nil
		}
	} else if m.term < r.hard.term {
		r.answerOldTerm(m)
		return nil
	}
	step := steps[m.kind]
	if step == nil {
		return nil
	}
	return step(r, m)
}

// enterTerm takes a later term over, and tells whether to go on with m.
func (r *Replica) enterTerm(m Message) bool {
	switch m.kind {
	case MessagePreVote:
		return true
	case MessagePreVoteAnswer:
		if !m.reject {
			return true
		}
	case MessageVote:
		if r.hearsLeader() {
			return false
		}
	}
	leader := MemberID("")
	if fromLeader(m.kind) {
		leader = m.from
	}
	r.becomeFollower(m.term, leader)
	return true
}

// answerOldTerm tells a sender of an earlier term which one it is now.
func (r *Replica) answerOldTerm(m Message) {
	switch {
	case fromLeader(m.kind):
		r.send(Message{kind: MessageHeartbeatAnswer, to: m.from, reject: true})
	case m.kind == MessagePreVote:
		r.send(Message{kind: MessagePreVoteAnswer, to: m.from, reject: true})
	}
}

// FromLeader tells whether only a leader of its term sends such a message.
func (m Message) FromLeader() bool { return fromLeader(m.kind) }

func fromLeader(k MessageKind) bool {
	return k == MessageAppend || k == MessageHeartbeat || k == MessageSnapshot
}

// followLeader notes that a leader of this term was heard.
func (r *Replica) followLeader(m Message) {
	if r.role != Follower {
		r.becomeFollower(m.term, m.from)
	}
	r.leader = m.from
	r.ticks = 0
}
