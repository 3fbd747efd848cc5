// ================================================================
// The set of voters and its changes, one at a time.
//
// A set is in force from the moment it is appended. A member comes in as a
// learner, is promoted by the leader once its synced log has caught up, and
// only then is the one it replaces removed. So at no time does the loss of
// one more VM cost the quorum that the repair was to restore.
//
// Rejected: swapping the old incarnation for the new one in a single step. It
// is only safe if the old disk never comes back, and nobody can promise that.
// ================================================================

package controllog

import (
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Members returns the members in force.
func (r *Replica) Members() []Member {
	if len(r.memberHistory) == 0 {
		return r.snapshot.members
	}
	return r.memberHistory[len(r.memberHistory)-1].members
}

func (r *Replica) member(m MemberID) (Member, bool) {
	for _, v := range r.Members() {
		if v.MemberID() == m {
			return v, true
		}
	}
	return Member{}, false
}

// quorum tells whether more than half of the voters satisfy the condition.
func (r *Replica) quorum(holds func(MemberID) bool) bool {
	voters, yes := 0, 0
	for _, v := range r.Members() {
		if v.learner {
			continue
		}
		voters++
		if holds(v.MemberID()) {
			yes++
		}
	}
	return voters > 0 && yes > voters/2
}

// ----------------------------------------------------------------
// Changes

// AddMember brings a member in as a learner; it is promoted by itself.
func (r *Replica) AddMember(v Member) error {
	if err := r.checkMemberChange(); err != nil {
		return err
	}
	if _, ok := r.member(v.MemberID()); ok {
		return failure.New(failure.BadVoterChange, "%s is already a member", v.MemberID())
	}
	v.learner = true
	v.replaces = r.previousIncarnation(v.id)
	r.changeMembers(append(copyMembers(r.Members()), v))
	return nil
}

// previousIncarnation returns the member that is an earlier life of the same VM.
func (r *Replica) previousIncarnation(id vm.ID) MemberID {
	for _, v := range r.Members() {
		if v.id == id {
			return v.MemberID()
		}
	}
	return ""
}

// RemoveMember takes every life of a VM out.
func (r *Replica) RemoveMember(m MemberID) error {
	if err := r.checkMemberChange(); err != nil {
		return err
	}
	gone, ok := r.member(m)
	if !ok {
		return failure.New(failure.UnknownObject, "%s is not a member", m)
	}
	rest := withoutMember(r.Members(), m)
	if !gone.learner && countVoters(rest) == 0 {
		return failure.New(failure.BadVoterChange, "%s is the last voter", m)
	}
	r.changeMembers(rest)
	return nil
}

// checkMemberChange holds a change back until the last one and an entry of the
// leader's own term are committed.
func (r *Replica) checkMemberChange() error {
	if r.role != Leader {
		return r.notLeader()
	}
	if r.hardState.commit < r.firstIndexOfTerm {
		return failure.New(failure.BadVoterChange, "the leader's first entry is not committed yet")
	}
	if n := len(r.memberHistory); n > 0 && r.memberHistory[n-1].index > r.hardState.commit {
		return failure.New(failure.BadVoterChange, "the change at entry %d is not committed yet", r.memberHistory[n-1].index)
	}
	return nil
}

func (r *Replica) changeMembers(voters []Member) {
	r.appendMembers(voters)
	r.syncProgress()
	r.broadcastAppend()
	r.advanceCommit()
}

func (r *Replica) appendMembers(voters []Member) {
	r.appendEntry(EntryMembers, encodeMembers(voters))
	r.memberHistory = append(r.memberHistory, indexedMembers{r.log.last(), voters})
}

// adjustMembers promotes a learner that has caught up and removes the member
// that a promoted one replaces.
func (r *Replica) adjustMembers() {
	if r.checkMemberChange() != nil {
		return
	}
	for i, v := range r.Members() {
		if v.learner && r.matchOf(v.MemberID()) >= r.hardState.commit {
			voters := copyMembers(r.Members())
			voters[i].learner = false
			r.changeMembers(voters)
			return
		}
		if v.learner || v.replaces == "" {
			continue
		}
		if _, there := r.member(v.replaces); there && v.replaces != r.config.Self {
			r.changeMembers(withoutMember(r.Members(), v.replaces))
			return
		}
	}
}

// stepDownIfRemoved ends the lead of a member that is a voter no more.
func (r *Replica) stepDownIfRemoved() {
	n := len(r.memberHistory)
	if n > 0 && r.memberHistory[n-1].index > r.hardState.commit {
		return
	}
	if _, ok := r.member(r.config.Self); !ok {
		r.broadcastHeartbeat()
		r.becomeFollower(r.hardState.term, "")
	}
}

// ----------------------------------------------------------------
// History

func (r *Replica) dropMembersFrom(index uint64) {
	for len(r.memberHistory) > 0 && r.memberHistory[len(r.memberHistory)-1].index >= index {
		r.memberHistory = r.memberHistory[:len(r.memberHistory)-1]
	}
}

func (r *Replica) rebuildMemberHistory() {
	r.memberHistory = nil
	for _, e := range r.log.entries {
		if e.kind == EntryMembers && e.index > r.snapshot.index {
			r.memberHistory = append(r.memberHistory, indexedMembers{e.index, decodeMembers(e.data)})
		}
	}
}

// membersAt returns the set in force at an index that is not compacted.
func (r *Replica) membersAt(index uint64) []Member {
	voters := r.snapshot.members
	for _, h := range r.memberHistory {
		if h.index <= index {
			voters = h.members
		}
	}
	return voters
}

// syncProgress tracks each member in force and nobody else.
func (r *Replica) syncProgress() {
	members := map[MemberID]bool{}
	for _, v := range r.Members() {
		members[v.MemberID()] = true
		if r.progress[v.MemberID()] == nil {
			r.progress[v.MemberID()] = &progress{next: r.log.last() + 1, active: true, respondedAt: r.clock}
		}
	}
	for m := range r.progress {
		if !members[m] {
			delete(r.progress, m)
		}
	}
}

func copyMembers(voters []Member) []Member { return append([]Member(nil), voters...) }

func withoutMember(voters []Member, m MemberID) []Member {
	var rest []Member
	for _, v := range voters {
		if v.MemberID() != m {
			rest = append(rest, v)
		}
	}
	return rest
}

func countVoters(voters []Member) int {
	n := 0
	for _, v := range voters {
		if !v.learner {
			n++
		}
	}
	return n
}
