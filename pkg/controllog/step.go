// ================================================================
// Incoming messages: the term rules first, then one handler a kind.
// ================================================================

package controllog

// messageHandlers is the table of handlers.
var messageHandlers = map[MessageKind]func(*Replica, Message) error{
	MessagePreVote:           func(r *Replica, m Message) error { r.stepVote(m); return nil },
	MessageVote:              func(r *Replica, m Message) error { r.stepVote(m); return nil },
	MessagePreVoteResponse:   func(r *Replica, m Message) error { r.stepVoteResponse(m); return nil },
	MessageVoteResponse:      func(r *Replica, m Message) error { r.stepVoteResponse(m); return nil },
	MessageAppend:            (*Replica).stepAppend,
	MessageAppendResponse:    func(r *Replica, m Message) error { r.stepAppendResponse(m); return nil },
	MessageHeartbeat:         func(r *Replica, m Message) error { r.stepHeartbeat(m); return nil },
	MessageHeartbeatResponse: func(r *Replica, m Message) error { r.stepHeartbeatResponse(m); return nil },
	MessageSnapshot:          func(r *Replica, m Message) error { r.stepSnapshot(m); return nil },
	MessageSnapshotResponse:  func(r *Replica, m Message) error { r.stepSnapshotResponse(m); return nil },
}

// Step takes a message in. It returns an error only when an invariant broke;
// the voter must then stop.
func (r *Replica) Step(m Message) error {
	if m.to != r.config.Self && !r.config.Faults.AnyIncarnation {
		return nil
	}
	if m.term > r.hardState.term {
		if !r.adoptTerm(m) {
			return nil
		}
	} else if m.term < r.hardState.term {
		r.rejectOldTerm(m)
		return nil
	}
	step := messageHandlers[m.kind]
	if step == nil {
		return nil
	}
	return step(r, m)
}

// adoptTerm takes a later term over, and tells whether to go on with m.
func (r *Replica) adoptTerm(m Message) bool {
	switch m.kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if !m.reject {
			return true
		}
	case MessageVote:
		if r.hasActiveLeader() {
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

// rejectOldTerm tells a sender of an earlier term which one it is now.
func (r *Replica) rejectOldTerm(m Message) {
	switch {
	case fromLeader(m.kind):
		r.send(Message{kind: MessageHeartbeatResponse, to: m.from, reject: true})
	case m.kind == MessagePreVote:
		r.send(Message{kind: MessagePreVoteResponse, to: m.from, reject: true})
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
	r.ticksSinceReset = 0
}
