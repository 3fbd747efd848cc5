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

// Voters returns the members in force.
func (r *Replica) Voters() []Voter {
	if len(r.history) == 0 {
		return r.snapshot.voters
	}
	return r.history[len(r.history)-1].voters
}

func (r *Replica) voter(m MemberID) (Voter, bool) {
	for _, v := range r.Voters() {
		if v.Member() == m {
			return v, true
		}
	}
	return Voter{}, false
}

// quorum tells whether more than half of the voters satisfy the condition.
func (r *Replica) quorum(holds func(MemberID) bool) bool {
	voters, yes := 0, 0
	for _, v := range r.Voters() {
		if v.learner {
			continue
		}
		voters++
		if holds(v.Member()) {
			yes++
		}
	}
	return voters > 0 && yes > voters/2
}

// ----------------------------------------------------------------
// Changes

// AddVoter brings a member in as a learner; it is promoted by itself.
func (r *Replica) AddVoter(v Voter) error {
	if err := r.mayChangeVoters(); err != nil {
		return err
	}
	if _, ok := r.voter(v.Member()); ok {
		return failure.New(failure.BadVoterChange, "%s is already a member", v.Member())
	}
	v.learner = true
	v.replaces = r.olderLife(v.id)
	r.changeVoters(append(copyVoters(r.Voters()), v))
	return nil
}

// olderLife returns the member that is an earlier life of the same VM.
func (r *Replica) olderLife(id vm.ID) MemberID {
	for _, v := range r.Voters() {
		if v.id == id {
			return v.Member()
		}
	}
	return ""
}

// RemoveVoter takes every life of a VM out.
func (r *Replica) RemoveVoter(m MemberID) error {
	if err := r.mayChangeVoters(); err != nil {
		return err
	}
	gone, ok := r.voter(m)
	if !ok {
		return failure.New(failure.UnknownObject, "%s is not a member", m)
	}
	rest := without(r.Voters(), m)
	if !gone.learner && countVoters(rest) == 0 {
		return failure.New(failure.BadVoterChange, "%s is the last voter", m)
	}
	r.changeVoters(rest)
	return nil
}

// mayChangeVoters holds a change back until the last one and an entry of the
// leader's own term are committed.
func (r *Replica) mayChangeVoters() error {
	if r.role != Leader {
		return r.notLeader()
	}
	if r.hard.commit < r.firstOfTerm {
		return failure.New(failure.BadVoterChange, "the leader's first entry is not committed yet")
	}
	if n := len(r.history); n > 0 && r.history[n-1].index > r.hard.commit {
		return failure.New(failure.BadVoterChange, "the change at entry %d is not committed yet", r.history[n-1].index)
	}
	return nil
}

func (r *Replica) changeVoters(voters []Voter) {
	r.appendVoters(voters)
	r.syncProgress()
	r.broadcastAppend()
	r.advanceCommit()
}

func (r *Replica) appendVoters(voters []Voter) {
	r.appendOwn(EntryVoters, encodeVoters(voters))
	r.history = append(r.history, votersAt{r.log.last(), voters})
}

// adjustVoters promotes a learner that has caught up and removes the member
// that a promoted one replaces.
func (r *Replica) adjustVoters() {
	if r.mayChangeVoters() != nil {
		return
	}
	for i, v := range r.Voters() {
		if v.learner && r.matchOf(v.Member()) >= r.hard.commit {
			voters := copyVoters(r.Voters())
			voters[i].learner = false
			r.changeVoters(voters)
			return
		}
		if v.learner || v.replaces == "" {
			continue
		}
		if _, there := r.voter(v.replaces); there && v.replaces != r.config.Self {
			r.changeVoters(without(r.Voters(), v.replaces))
			return
		}
	}
}

// stepDownIfRemoved ends the lead of a member that is a voter no more.
func (r *Replica) stepDownIfRemoved() {
	n := len(r.history)
	if n > 0 && r.history[n-1].index > r.hard.commit {
		return
	}
	if _, ok := r.voter(r.config.Self); !ok {
		r.broadcastHeartbeat()
		r.becomeFollower(r.hard.term, "")
	}
}

// ----------------------------------------------------------------
// History

func (r *Replica) forgetVotersFrom(index uint64) {
	for len(r.history) > 0 && r.history[len(r.history)-1].index >= index {
		r.history = r.history[:len(r.history)-1]
	}
}

func (r *Replica) rebuildHistory() {
	r.history = nil
	for _, e := range r.log.entries {
		if e.kind == EntryVoters && e.index > r.snapshot.index {
			r.history = append(r.history, votersAt{e.index, decodeVoters(e.data)})
		}
	}
}

// votersAtIndex returns the set in force at an index that is not compacted.
func (r *Replica) votersAtIndex(index uint64) []Voter {
	voters := r.snapshot.voters
	for _, h := range r.history {
		if h.index <= index {
			voters = h.voters
		}
	}
	return voters
}

// syncProgress tracks each member in force and nobody else.
func (r *Replica) syncProgress() {
	members := map[MemberID]bool{}
	for _, v := range r.Voters() {
		members[v.Member()] = true
		if r.progress[v.Member()] == nil {
			r.progress[v.Member()] = &progress{next: r.log.last() + 1, active: true, heardAt: r.clock}
		}
	}
	for m := range r.progress {
		if !members[m] {
			delete(r.progress, m)
		}
	}
}

func copyVoters(voters []Voter) []Voter { return append([]Voter(nil), voters...) }

func without(voters []Voter, m MemberID) []Voter {
	var rest []Voter
	for _, v := range voters {
		if v.Member() != m {
			rest = append(rest, v)
		}
	}
	return rest
}

func countVoters(voters []Voter) int {
	n := 0
	for _, v := range voters {
		if !v.learner {
			n++
		}
	}
	return n
}
