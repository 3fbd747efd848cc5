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
		if err := r.once(ctx, ticker.C); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			r.err = err
			_ = level.Error(r.config.Logger).Log("msg", "voter stopped", "err", err)
			return err
		}
	}
}

// once waits for one input, takes what else waits, and carries it all out.
func (r *Runner) once(ctx context.Context, tick <-chan time.Time) error {
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
		r.take(q)
		r.takeMore()
	}
	return r.carryOut()
}

func (r *Runner) takeMore() {
	for range maxBatch {
		select {
		case q := <-r.requests:
			r.take(q)
		default:
			return
		}
	}
}

func (r *Runner) take(q request) {
	switch {
	case q.do != nil:
		q.answer <- result{err: q.do(r)}
	case q.read:
		r.nextRead++
		r.reads[r.nextRead] = q.answer
		if err := r.replica.Read(r.nextRead); err != nil {
			delete(r.reads, r.nextRead)
			q.answer <- result{err: err}
		}
	default:
		index, term, err := r.replica.Propose(q.data)
		if err != nil {
			q.answer <- result{err: err}
			return
		}
		r.waiting[index] = waiter{term: term, answer: q.answer}
	}
}

// carryOut does what the replica wants until it wants nothing more.
func (r *Runner) carryOut() error {
	r.replica.Flush()
	for r.replica.HasReady() {
		if err := r.process(r.replica.Ready()); err != nil {
			return err
		}
	}
	r.noteLeadership()
	r.publishState()
	return r.maybeSnapshot()
}

func (r *Runner) process(d Ready) error {
	r.sendAll(d.AppendFirst)
	if d.Install != nil {
		if err := r.install(*d.Install, d.HardState); err != nil {
			return err
		}
	}
	if err := r.store.Save(d.HardState, d.Changed, d.Entries); err != nil {
		return err
	}
	if n := len(d.Entries); n > 0 {
		r.replica.Persisted(d.Entries[n-1].index, d.Entries[n-1].term)
	}
	r.sendAll(d.Messages)
	r.apply(d.Committed)
	r.confirmed = append(r.confirmed, d.Reads...)
	r.answerReads()
	return nil
}

func (r *Runner) sendAll(messages []Message) {
	for _, m := range messages {
		// A learner answers a leader that it does not know of yet: the address
		// is then empty, and Send answers where the message came from.
		to, _ := r.replica.voter(m.to)
		r.config.Send(m.to, to.address, m)
	}
}

func (r *Runner) install(s Snapshot, hard HardState) error {
	if err := r.store.SaveSnapshot(s, hard, s.index, s.term, nil); err != nil {
		return err
	}
	if err := r.config.Machine.Restore(s.state); err != nil {
		return err
	}
	r.applied, r.lastSnapshot = s.index, s.index
	r.abandonWaiting()
	return nil
}

func (r *Runner) apply(entries []Entry) {
	for _, e := range entries {
		var value any
		switch e.kind {
		case EntryCommand:
			value = r.config.Machine.Apply(e.index, e.data)
		case EntryVoters:
			r.config.Record(event.VoterChanged, string(r.config.Self.Member()), describeVoters(decodeVoters(e.data)))
		}
		r.applied = e.index
		r.appliedBytes += len(e.data)
		r.answerProposal(e, value)
	}
}

// answerProposal answers who proposed the entry, if it was proposed here.
func (r *Runner) answerProposal(e Entry, value any) {
	w, ok := r.waiting[e.index]
	if !ok {
		return
	}
	delete(r.waiting, e.index)
	if w.term != e.term {
		// Another leader's entry took the place: ours will never commit.
		w.answer <- result{err: failure.New(failure.NotLeader, "the lead changed before the entry was accepted")}
		return
	}
	w.answer <- result{value: value}
}

func (r *Runner) answerReads() {
	rest := r.confirmed[:0]
	for _, read := range r.confirmed {
		if read.Index > r.applied {
			rest = append(rest, read)
			continue
		}
		if answer := r.reads[read.ID]; answer != nil {
			answer <- result{}
			delete(r.reads, read.ID)
		}
	}
	r.confirmed = rest
}

// noteLeadership records changes of the lead, and on losing it answers all who
// wait: their entries may or may not be accepted by the next leader.
func (r *Runner) noteLeadership() {
	leads := r.replica.Role() == Leader
	if leads == r.wasLeader {
		return
	}
	r.wasLeader = leads
	self := string(r.config.Self.Member())
	if leads {
		r.config.Record(event.LeaderElected, self, describeTerm(r.replica.Term()))
		return
	}
	r.config.Record(event.LeaderLost, self, describeTerm(r.replica.Term()))
	r.abandonWaiting()
}

func (r *Runner) abandonWaiting() {
	lost := failure.New(failure.NoQuorum, "the lead was lost before a quorum answered").WithRan(failure.RanUnknown)
	for index, w := range r.waiting {
		w.answer <- result{err: lost}
		delete(r.waiting, index)
	}
	for id, answer := range r.reads {
		answer <- result{err: lost.WithRan(failure.NotRun)}
		delete(r.reads, id)
	}
	r.confirmed = nil
}

func (r *Runner) maybeSnapshot() error {
	every := r.config.SnapshotEvery
	if every == 0 {
		every = DefaultSnapshotEvery
	}
	most := snapshotBytes
	if r.joining {
		most = joiningBytes
	}
	r.joining = false
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
	return r.store.SaveSnapshot(s, r.replica.hard, r.replica.log.beforeIndex, r.replica.log.beforeTerm, entries)
}

// publishState makes the state after a step readable without a wait.
func (r *Runner) publishState() {
	s := State{
		Role:    r.replica.Role(),
		Term:    r.replica.Term(),
		Commit:  r.replica.Commit(),
		Applied: r.applied,
		Voters:  copyVoters(r.replica.Voters()),
	}
	if leader, ok := r.replica.voter(r.replica.Leader()); ok {
		s.Leader = leader
	}
	if s.Role == Leader {
		s.Match, s.Unheard = map[MemberID]uint64{}, map[MemberID]int{}
		for _, v := range s.Voters {
			s.Match[v.Member()] = r.replica.matchOf(v.Member())
			s.Unheard[v.Member()] = r.replica.unheard(v.Member())
		}
		s.Commits = r.replica.mayChangeVoters() == nil
	}
	r.state.Store(&s)
}
