// ================================================================
// The set of members and its changes, one at a time.
//
// A set is in force once it is appended. A member is added as a learner, the
// leader promotes it once its synced log has caught up, and only then removes
// the member that it replaces. Thus the loss of one more VM during a
// replacement does not cost the quorum. The new incarnation does not take the
// old one's place in a single step: that would be safe only if the old disk
// never came back, which cannot be guaranteed.
// ================================================================

package controllog

import (
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Members returns the set of members in force, learners included.
func (r *Replica) Members() []Member {
	if len(r.memberHistory) == 0 {
		return r.snapshot.members
	}
	return r.memberHistory[len(r.memberHistory)-1].members
}

// member returns the member with the given id, and false when there is none.
func (r *Replica) member(m MemberID) (Member, bool) {
	for _, v := range r.Members() {
		if v.MemberID() == m {
			return v, true
		}
	}
	return Member{}, false
}

// quorum reports whether more than half of the voters satisfy the condition.
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

// AddMember adds a member as a learner. The leader promotes it once it has caught up.
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

// previousIncarnation returns the member that is an earlier incarnation of the same
// VM, or "".
func (r *Replica) previousIncarnation(id vm.ID) MemberID {
	for _, v := range r.Members() {
		if v.id == id {
			return v.MemberID()
		}
	}
	return ""
}

// RemoveMember removes a member. The last voter cannot be removed.
func (r *Replica) RemoveMember(m MemberID) error {
	if err := r.checkMemberChange(); err != nil {
		return err
	}
	removed, ok := r.member(m)
	if !ok {
		return failure.New(failure.UnknownObject, "%s is not a member", m)
	}
	remaining := withoutMember(r.Members(), m)
	if !removed.learner && countVoters(remaining) == 0 {
		return failure.New(failure.BadVoterChange, "%s is the last voter", m)
	}
	r.changeMembers(remaining)
	return nil
}

// checkMemberChange returns an error unless this replica leads and the last change
// and an entry of its own term are committed.
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

func (r *Replica) changeMembers(members []Member) {
	r.appendMembers(members)
	r.syncProgress()
	r.broadcastAppend()
	r.advanceCommit()
}

func (r *Replica) appendMembers(members []Member) {
	r.appendEntry(EntryMembers, encodeMembers(members))
	r.memberHistory = append(r.memberHistory, indexedMembers{r.log.last(), members})
}

// adjustMembers makes at most one change: it promotes a learner that has caught up,
// or removes a member that a promoted one replaces.
func (r *Replica) adjustMembers() {
	if r.checkMemberChange() != nil {
		return
	}
	for i, v := range r.Members() {
		if v.learner && r.matchOf(v.MemberID()) >= r.hardState.commit {
			members := copyMembers(r.Members())
			members[i].learner = false
			r.changeMembers(members)
			return
		}
		if v.learner || v.replaces == "" {
			continue
		}
		if _, present := r.member(v.replaces); present && v.replaces != r.config.Self {
			r.changeMembers(withoutMember(r.Members(), v.replaces))
			return
		}
	}
}

// stepDownIfRemoved makes a leader that is no longer a member a follower, once its
// removal is committed.
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
// The sets of members in the log

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

// membersAt returns the set of members in force at an index that is not compacted.
func (r *Replica) membersAt(index uint64) []Member {
	members := r.snapshot.members
	for _, h := range r.memberHistory {
		if h.index <= index {
			members = h.members
		}
	}
	return members
}

// syncProgress adds and removes progress so that it matches the members in force.
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

func copyMembers(members []Member) []Member { return append([]Member(nil), members...) }

func withoutMember(members []Member, m MemberID) []Member {
	var remaining []Member
	for _, v := range members {
		if v.MemberID() != m {
			remaining = append(remaining, v)
		}
	}
	return remaining
}

func countVoters(members []Member) int {
	n := 0
	for _, v := range members {
		if !v.learner {
			n++
		}
	}
	return n
}
