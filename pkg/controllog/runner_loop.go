// ================================================================
// The runner's loop: one input, then all that the replica wants done for it, in
// the order that its promises need: write and sync, send, apply, answer.
// ================================================================

package controllog

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// Run runs the member until the context ends or its disk fails.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.done)
	defer func() { _ = r.store.Close() }()
	tick := r.config.Tick
	if tick == 0 {
		tick = DefaultTick
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		if err := r.processInput(ctx, ticker.C); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			r.err = err
			_ = level.Error(r.config.Logger).Log("msg", "voter stopped", "err", err)
			return err
		}
	}
}

// processInput waits for one input, takes what else waits, and carries it all out.
func (r *Runner) processInput(ctx context.Context, tick <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tick:
		r.replica.Tick()
	case m := <-r.inbox:
		if err := r.replica.Step(m); err != nil {
			return err
		}
	case q := <-r.requests:
		r.handleRequest(q)
		r.handleQueuedRequests()
	}
	return r.processAllReady()
}

func (r *Runner) handleQueuedRequests() {
	for range maxBatch {
		select {
		case q := <-r.requests:
			r.handleRequest(q)
		default:
			return
		}
	}
}

func (r *Runner) handleRequest(q request) {
	switch {
	case q.step != nil:
		q.reply <- result{err: q.step(r)}
	case q.read:
		r.lastReadID++
		r.pendingReads[r.lastReadID] = q.reply
		if err := r.replica.Read(r.lastReadID); err != nil {
			delete(r.pendingReads, r.lastReadID)
			q.reply <- result{err: err}
		}
	default:
		index, term, err := r.replica.Propose(q.data)
		if err != nil {
			q.reply <- result{err: err}
			return
		}
		r.pendingProposals[index] = pendingProposal{term: term, reply: q.reply}
	}
}

// processAllReady does what the replica wants until it wants nothing more.
func (r *Runner) processAllReady() error {
	r.replica.Flush()
	for r.replica.HasReady() {
		if err := r.processReady(r.replica.Ready()); err != nil {
			return err
		}
	}
	r.recordLeadershipChange()
	r.publishState()
	return r.snapshotIfDue()
}

func (r *Runner) processReady(d Ready) error {
	r.sendMessages(d.MessagesBeforeSync)
	if d.Snapshot != nil {
		if err := r.installSnapshot(*d.Snapshot, d.HardState); err != nil {
			return err
		}
	}
	if err := r.store.Save(d.HardState, d.HardStateChanged, d.Entries); err != nil {
		return err
	}
	if n := len(d.Entries); n > 0 {
		r.replica.Persisted(d.Entries[n-1].index, d.Entries[n-1].term)
	}
	r.sendMessages(d.MessagesAfterSync)
	r.applyEntries(d.Committed)
	r.confirmedReads = append(r.confirmedReads, d.Reads...)
	r.replyToReads()
	return nil
}

func (r *Runner) sendMessages(messages []Message) {
	for _, m := range messages {
		// A learner answers a leader that it does not know of yet: the address
		// is then empty, and Send answers where the message came from.
		to, _ := r.replica.member(m.to)
		r.config.Send(m.to, to.address, m)
	}
}

func (r *Runner) installSnapshot(s Snapshot, hard HardState) error {
	if err := r.store.SaveSnapshot(s, hard, s.index, s.term, nil); err != nil {
		return err
	}
	if err := r.config.Machine.Restore(s.state); err != nil {
		return err
	}
	r.applied, r.lastSnapshot = s.index, s.index
	r.failPending()
	return nil
}

func (r *Runner) applyEntries(entries []Entry) {
	for _, e := range entries {
		var value any
		switch e.kind {
		case EntryCommand:
			value = r.config.Machine.Apply(e.index, e.data)
		case EntryMembers:
			r.config.Record(event.VoterChanged, string(r.config.Self.MemberID()), describeMembers(decodeMembers(e.data)))
		}
		r.applied = e.index
		r.appliedBytes += len(e.data)
		r.replyToProposal(e, value)
	}
}

// replyToProposal answers who proposed the entry, if it was proposed here.
func (r *Runner) replyToProposal(e Entry, value any) {
	w, ok := r.pendingProposals[e.index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.index)
	if w.term != e.term {
		// Another leader's entry took the place: ours will never commit.
		w.reply <- result{err: failure.New(failure.NotLeader, "the lead changed before the entry was accepted")}
		return
	}
	w.reply <- result{value: value}
}

func (r *Runner) replyToReads() {
	rest := r.confirmedReads[:0]
	for _, read := range r.confirmedReads {
		if read.Index > r.applied {
			rest = append(rest, read)
			continue
		}
		if answer := r.pendingReads[read.ID]; answer != nil {
			answer <- result{}
			delete(r.pendingReads, read.ID)
		}
	}
	r.confirmedReads = rest
}

// recordLeadershipChange records changes of the lead, and on losing it answers all who
// wait: their entries may or may not be accepted by the next leader.
func (r *Runner) recordLeadershipChange() {
	leads := r.replica.Role() == Leader
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	self := string(r.config.Self.MemberID())
	if leads {
		r.config.Record(event.LeaderElected, self, describeTerm(r.replica.Term()))
		return
	}
	r.config.Record(event.LeaderLost, self, describeTerm(r.replica.Term()))
	r.failPending()
}

func (r *Runner) failPending() {
	lost := failure.New(failure.NoQuorum, "the lead was lost before a quorum answered").WithRan(failure.RanUnknown)
	for index, w := range r.pendingProposals {
		w.reply <- result{err: lost}
		delete(r.pendingProposals, index)
	}
	for id, answer := range r.pendingReads {
		answer <- result{err: lost.WithRan(failure.NotRun)}
		delete(r.pendingReads, id)
	}
	r.confirmedReads = nil
}

func (r *Runner) snapshotIfDue() error {
	every := r.config.SnapshotEvery
	if every == 0 {
		every = DefaultSnapshotEvery
	}
	most := snapshotThreshold
	if r.memberAdded {
		most = newMemberSnapshotThreshold
	}
	r.memberAdded = false
	if r.applied == r.lastSnapshot || (r.applied-r.lastSnapshot < every && r.appliedBytes < most) {
		return nil
	}
	state, err := r.config.Machine.Snapshot()
	if err != nil {
		return err
	}
	s := r.replica.MakeSnapshot(r.applied, state)
	entries := r.replica.Compact(s)
	r.lastSnapshot, r.appliedBytes = s.index, 0
	return r.store.SaveSnapshot(s, r.replica.hardState, r.replica.log.baseIndex, r.replica.log.baseTerm, entries)
}

// publishState makes the state after a step readable without a wait.
func (r *Runner) publishState() {
	s := State{
		Role:    r.replica.Role(),
		Term:    r.replica.Term(),
		Commit:  r.replica.Commit(),
		Applied: r.applied,
		Members: copyMembers(r.replica.Members()),
	}
	if leader, ok := r.replica.member(r.replica.Leader()); ok {
		s.Leader = leader
	}
	if s.Role == Leader {
		s.Match, s.TicksSinceResponse = map[MemberID]uint64{}, map[MemberID]int{}
		for _, v := range s.Members {
			s.Match[v.MemberID()] = r.replica.matchOf(v.MemberID())
			s.TicksSinceResponse[v.MemberID()] = r.replica.ticksSinceResponse(v.MemberID())
		}
		s.CanChangeMembers = r.replica.checkMemberChange() == nil
	}
	r.state.Store(&s)
}
