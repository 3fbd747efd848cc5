// ================================================================
// The runner's loop: it handles one input, then performs the actions that the
// replica requests. Most messages, and the application of entries and the replies,
// rely on what was written, so the order is write and sync, send, apply, reply.
// ================================================================

package controllog

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// Run runs the member until the context ends or an error occurs, such as a failed
// disk write. It returns nil when the context has ended.
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

// processInput waits for one input and performs the actions that follow from it. A
// request is handled together with the other requests in the queue.
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

// processAllReady performs the requested actions until the replica requests no more.
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

func (r *Runner) processReady(ready Ready) error {
	r.sendMessages(ready.MessagesBeforeSync)
	if ready.Snapshot != nil {
		if err := r.installSnapshot(*ready.Snapshot, ready.HardState); err != nil {
			return err
		}
	}
	if err := r.store.Save(ready.HardState, ready.HardStateChanged, ready.Entries); err != nil {
		return err
	}
	if n := len(ready.Entries); n > 0 {
		r.replica.Persisted(ready.Entries[n-1].index, ready.Entries[n-1].term)
	}
	r.sendMessages(ready.MessagesAfterSync)
	r.applyEntries(ready.Committed)
	r.confirmedReads = append(r.confirmedReads, ready.Reads...)
	r.replyToReads()
	return nil
}

func (r *Runner) sendMessages(messages []Message) {
	for _, m := range messages {
		// A new learner may respond to a leader that is not in its log yet. The
		// address is then empty, and Send uses the connection that the message
		// came from.
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

// replyToProposal sends the result to the caller that proposed the entry on this member,
// if there is one.
func (r *Runner) replyToProposal(e Entry, value any) {
	w, ok := r.pendingProposals[e.index]
	if !ok {
		return
	}
	delete(r.pendingProposals, e.index)
	if w.term != e.term {
		// Another leader's entry replaced the proposed one, which cannot be committed any more.
		w.reply <- result{err: failure.New(failure.NotLeader, "the leader changed before the entry was committed")}
		return
	}
	w.reply <- result{value: value}
}

func (r *Runner) replyToReads() {
	remaining := r.confirmedReads[:0]
	for _, read := range r.confirmedReads {
		if read.Index > r.applied {
			remaining = append(remaining, read)
			continue
		}
		if reply := r.pendingReads[read.ID]; reply != nil {
			reply <- result{}
			delete(r.pendingReads, read.ID)
		}
	}
	r.confirmedReads = remaining
}

// recordLeadershipChange records an event when this member starts or stops leading. When
// it stops, pending calls fail: the next leader may or may not commit their entries.
func (r *Runner) recordLeadershipChange() {
	isLeader := r.replica.Role() == Leader
	if isLeader == r.wasLeader {
		return
	}
	r.wasLeader = isLeader
	self := string(r.config.Self.MemberID())
	if isLeader {
		r.config.Record(event.LeaderElected, self, describeTerm(r.replica.Term()))
		return
	}
	r.config.Record(event.LeaderLost, self, describeTerm(r.replica.Term()))
	r.failPending()
}

// failPending fails the pending proposals with an unknown outcome, and the pending reads
// as not run.
func (r *Runner) failPending() {
	lostErr := failure.New(failure.NoQuorum, "leadership was lost before a quorum responded").WithRan(failure.RanUnknown)
	for index, w := range r.pendingProposals {
		w.reply <- result{err: lostErr}
		delete(r.pendingProposals, index)
	}
	for id, reply := range r.pendingReads {
		reply <- result{err: lostErr.WithRan(failure.NotRun)}
		delete(r.pendingReads, id)
	}
	r.confirmedReads = nil
}

// snapshotIfDue takes a snapshot if enough entries or bytes were applied since the last one.
func (r *Runner) snapshotIfDue() error {
	every := r.config.SnapshotEvery
	if every == 0 {
		every = DefaultSnapshotEvery
	}
	threshold := snapshotThreshold
	if r.memberAdded {
		threshold = newMemberSnapshotThreshold
	}
	r.memberAdded = false
	if r.applied == r.lastSnapshot || (r.applied-r.lastSnapshot < every && r.appliedBytes < threshold) {
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

// publishState stores the state for State to return.
func (r *Runner) publishState() {
	s := State{
		At:      time.Now(),
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
