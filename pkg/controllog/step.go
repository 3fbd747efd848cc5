// ================================================================
// Handling of incoming messages: the rules for terms, then the handler for the kind
// of message.
// ================================================================

package controllog

// messageHandlers holds the handler of each kind of message.
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

// Step handles a message from another member. It returns an error only when an
// invariant is violated; the member must then stop.
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
	handle := messageHandlers[m.kind]
	if handle == nil {
		return nil
	}
	return handle(r, m)
}

// adoptTerm handles the later term of m and reports whether m is to be handled too.
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

// rejectOldTerm responds to a leader's message or a pre-vote of an earlier term, so
// that its sender learns the current term.
func (r *Replica) rejectOldTerm(m Message) {
	switch {
	case fromLeader(m.kind):
		r.send(Message{kind: MessageHeartbeatResponse, to: m.from, reject: true})
	case m.kind == MessagePreVote:
		r.send(Message{kind: MessagePreVoteResponse, to: m.from, reject: true})
	}
}

// FromLeader reports whether only the leader of a term sends this kind of message.
func (m Message) FromLeader() bool { return fromLeader(m.kind) }

func fromLeader(k MessageKind) bool {
	return k == MessageAppend || k == MessageHeartbeat || k == MessageSnapshot
}

// followLeader makes the sender of m the leader and resets the election timer.
func (r *Replica) followLeader(m Message) {
	if r.role != Follower {
		r.becomeFollower(m.term, m.from)
	}
	r.leader = m.from
	r.ticksSinceReset = 0
}
