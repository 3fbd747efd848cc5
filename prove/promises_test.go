// ================================================================
// The seven promises, each as a scenario of random events and the check that
// belongs to it.
// ================================================================

package prove

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/vm"
)

var allEntries = []string{"entry-1", "entry-2", "entry-3", "entry-4"}
var allAgents = []string{"agent-1", "agent-2", "agent-3", "agent-4", "agent-5"}

// chatting sends n chats from random entries over a time, and calls check with
// each answer once it has come.
func (w *world) chatting(n int, over time.Duration, check func(body string, a answer)) {
	for i := range n {
		at, after := w.pick(allEntries...), w.millis(int(over/time.Millisecond))
		w.background(func() {
			time.Sleep(after)
			body, a := w.chat(at, fmt.Sprintf("chat-%d", i))
			check(body, a)
		})
	}
}

// checkWhole reports an answer that looks whole and is not the caller's.
func (w *world) checkWhole(body string, a answer) {
	if a.whole() && a.body != wholeAnswer(body) {
		w.ledger.violation("answer to %s: %q", body, a.body)
	}
}

// ----------------------------------------------------------------

func TestPromise1NoPartialWeights(t *testing.T) {
	proof{
		number: 1, name: "no_partial_or_mixed_weights",
		scenario: func(w *world) {
			w.origin.mu.Lock()
			w.origin.corrupt = 0.2
			w.origin.mu.Unlock()
			w.chatting(40, 20*time.Second, w.checkWhole)
			s, err := w.status("entry-1")
			w.must(err)
			_, err = w.apply("entry-1", "roll", s.Revision(), "v2")
			w.must(err)
			// The version changes at the origin in mid-copy, and back.
			time.Sleep(w.millis(200))
			w.note()
			w.origin.put("v2", 99)
			time.Sleep(w.millis(2000))
			w.killAgentFor(w.pick(allAgents...), w.millis(1500))
			w.note()
			w.engines[w.pick(allAgents...)].restart()
			w.origin.put("v2", 2)
			w.killAgentFor(w.pick(allAgents...), w.millis(1500))
			w.eventually("v2 ready everywhere", func() bool { return w.ready("v2") == len(allAgents) })
			w.requests.Wait()
		},
		seeded: map[string]func(w *world){
			"skip_verify": func(w *world) {
				w.agentFaults.SkipVerify = true
				w.origin.corrupt = 0.2
			},
		},
	}.run(t)
}

func TestPromise2WholeAnswers(t *testing.T) {
	mangled := func(w *world) {
		// Parts are doubled, swapped with the next one, or lost.
		var mu sync.Mutex
		held := map[string]contract.ResponsePart{}
		w.sendAnswer = func(send func(contract.ResponsePart) error, part contract.ResponsePart) error {
			mu.Lock()
			defer mu.Unlock()
			if former, ok := held[part.Attempt()]; ok {
				delete(held, part.Attempt())
				if err := send(part); err != nil {
					return err
				}
				return send(former)
			}
			switch w.mangle.IntN(30) {
			case 0:
				if err := send(part); err != nil {
					return err
				}
			case 1:
				if !part.End() {
					held[part.Attempt()] = part
					return nil
				}
			case 2:
				return nil
			}
			return send(part)
		}
	}
	proof{
		number: 2, name: "whole_answer_to_own_request",
		scenario: func(w *world) {
			mangled(w)
			w.mangling = true
			w.killAgentFor("agent-3", 100*time.Millisecond)
			w.killAgentFor("agent-2", 100*time.Millisecond)
			w.killAgentFor("agent-5", 100*time.Millisecond)
			w.eventually("replicas back", func() bool { return w.ready("v1") == len(allAgents) })
			w.chatting(60, 5*time.Second, w.checkWhole)
			time.Sleep(w.millis(2000))
			w.killAgentFor(w.pick(allAgents...), w.millis(500))
			w.cutFor(w.pick(allEntries...), w.pick(allAgents...), w.millis(8000))
			w.note()
			w.engines[w.pick(allAgents...)].restart()
			w.requests.Wait()
		},
		seeded: map[string]func(w *world){
			"skip_answer_check": func(w *world) { w.entryFaults.SkipAnswerCheck = true },
		},
	}.run(t)
}

// ----------------------------------------------------------------

func TestPromise3NotRunIsTrue(t *testing.T) {
	proof{
		number: 3, name: "not_run_is_true",
		scenario: func(w *world) {
			var mu sync.Mutex
			var notRun []string
			check := func(body string, a answer) {
				if a.saysNotRun() {
					mu.Lock()
					defer mu.Unlock()
					notRun = append(notRun, body)
				}
			}
			w.chatting(60, 12*time.Second, check)
			for i := range 30 {
				at, after := w.pick(allEntries...), w.millis(12000)
				key := ""
				if i%2 == 0 {
					key = fmt.Sprintf("key-%d", i)
				}
				w.background(func() {
					time.Sleep(after)
					body := fmt.Sprintf("order-%d", i)
					check(body, w.order(at, key, body))
				})
			}
			for range 5 {
				w.service.setMode(w.pick(modeFine, modeLoseAnswer))
				w.randomFault()
			}
			w.requests.Wait()
			for _, body := range notRun {
				if n := w.ledger.count(body); n > 0 {
					w.ledger.violation("%q was called not run and ran %d times", body, n)
				}
			}
		},
		seeded: map[string]func(w *world){
			"say_not_run": func(w *world) { w.entryFaults.ReportNotRun = true },
		},
	}.run(t)
}

// randomFault makes one fault of any kind and waits it out.
func (w *world) randomFault() {
	switch w.random.IntN(5) {
	case 0:
		w.killAgentFor(w.pick(allAgents...), w.millis(3000))
	case 1:
		w.cutFor(w.pick(allEntries...), w.pick(allAgents...), w.millis(6000))
	case 2:
		w.isolateFor(w.pick(allEntries...), w.millis(4000))
	case 3:
		w.note()
		w.engines[w.pick(allAgents...)].restart()
		time.Sleep(w.millis(1000))
	default:
		w.killEntryFor(w.pick("entry-2", "entry-3", "entry-4"), w.millis(2000))
	}
}

// ----------------------------------------------------------------

func TestPromise4AtMostOnce(t *testing.T) {
	proof{
		number: 4, name: "not_repeatable_runs_at_most_once",
		scenario: func(w *world) {
			const orders = 25
			// Some entries are frozen between claim and send, past deadlines too.
			w.beforeSend = w.sometimesFreeze()
			for i := range orders {
				at := []string{w.pick(allEntries...), w.pick(allEntries...), w.pick(allEntries...)}
				after := w.millis(10000)
				w.background(func() {
					time.Sleep(after)
					body, key := fmt.Sprintf("order-%d", i), fmt.Sprintf("key-%d", i)
					for _, entry := range at {
						// A caller that got no answer asks again elsewhere.
						if a := w.order(entry, key, body); a.whole() {
							return
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
			for range 5 {
				w.service.setMode(w.pick(modeFine, modeFine, modeLoseAnswer))
				w.randomFault()
			}
			w.service.setMode(modeFine)
			w.requests.Wait()
			for i := range orders {
				if n := w.ledger.count(fmt.Sprintf("order-%d", i)); n > 1 {
					w.ledger.violation("order-%d ran %d times", i, n)
				}
			}
		},
		seeded: map[string]func(w *world){
			"skip_claim":     func(w *world) { w.entryFaults.SkipClaim = true },
			"retry_anything": func(w *world) { w.entryFaults.RetryAlways = true },
		},
	}.run(t)
}

// sometimesFreeze returns a hook that holds an attempt back now and then.
func (w *world) sometimesFreeze() func(string) {
	var mu sync.Mutex
	return func(string) {
		mu.Lock()
		n := w.mangle.IntN(8)
		mu.Unlock()
		switch n {
		case 0:
			time.Sleep(5 * time.Second)
		case 1:
			time.Sleep(25 * time.Second)
		}
	}
}

// ----------------------------------------------------------------

// noNewWorkAfter is how long after it began to leave a backend server may
// still get new work.
const noNewWorkAfter = 3 * time.Second

func TestPromise5LeavingGetsNothingNew(t *testing.T) {
	proof{
		number: 5, name: "leaving_gets_nothing_new",
		scenario: func(w *world) {
			// The VM that leaves is cut off from one of its two entries, so that
			// this one cannot hear of it, and the platform says nothing.
			leaving := w.pick("agent-1", "agent-2")
			w.background(func() { w.chat("entry-1", "slow") })
			w.chatting(150, 16*time.Second, w.checkWhole)
			time.Sleep(w.millis(1000))
			if w.random.IntN(2) == 0 {
				w.background(func() { w.cutFor("entry-4", leaving, 3*time.Second) })
			}
			engine := w.engines[leaving]
			engine.hold()
			w.must(w.call("entry-1", link.KindDrain, contract.NewDrain(vm.ID(leaving), "test"), &contract.Acknowledgement{}))
			w.note()
			time.Sleep(noNewWorkAfter)
			before := engine.started()
			time.Sleep(8 * time.Second)
			if n := engine.started() - before; n > 0 {
				w.ledger.violation("%s got %d new requests later than %s after it began to leave", leaving, n, noNewWorkAfter)
			}
			engine.release()
			w.requests.Wait()
		},
		seeded: map[string]func(w *world){
			"take_while_draining": func(w *world) {
				w.agentFaults.AdmitWhileDraining = true
				w.entryFaults.SendToLeavingAgents = true
			},
		},
	}.run(t)
}

// ----------------------------------------------------------------

func TestPromise6PlannedStopCutsNothing(t *testing.T) {
	proof{
		number: 6, name: "planned_stop_cuts_off_nothing",
		scenario: func(w *world) {
			stopping := w.pick("entry-2", "entry-4")
			var others []string
			for _, e := range allEntries {
				if e != stopping {
					others = append(others, e)
				}
			}
			check := func(body string, a answer) {
				if !a.whole() || a.body != wholeAnswer(body) {
					w.ledger.violation("a planned stop cut off %s: %+v", body, a)
				}
			}
			for i := range 120 {
				after := w.millis(5000)
				at := w.pick(others...)
				if after < 2200*time.Millisecond {
					// The balancer sends there until it has seen /readyz turn.
					at = w.pick(allEntries...)
				}
				w.background(func() {
					time.Sleep(after)
					body, a := w.chat(at, fmt.Sprintf("chat-%d", i))
					check(body, a)
				})
			}
			time.Sleep(2 * time.Second)
			w.note()
			entryDone := w.terminate(stopping)
			w.note()
			agentDone := w.terminate(w.pick("agent-1", "agent-3"))
			<-agentDone
			<-entryDone
			w.requests.Wait()
		},
		seeded: map[string]func(w *world){
			"entry_drains_at_once": func(w *world) { w.entryFaults.SkipDrainWait = true },
			"agent_drains_at_once": func(w *world) { w.agentFaults.SkipDrainWait = true },
		},
	}.run(t)
}

// ----------------------------------------------------------------

// inForceWithin is how soon an accepted change must be in force everywhere
// once links are whole.
const inForceWithin = 6 * time.Second

func TestPromise7ConfigurationHolds(t *testing.T) {
	proof{
		number: 7, name: "accepted_configuration_in_force_and_never_reverts",
		scenario: func(w *world) {
			watch := w.watchRevisions()
			accepted := map[uint64]string{}
			var mu sync.Mutex
			for round := range 6 {
				s, err := w.status(w.pick("entry-1", "entry-2", "entry-3"))
				if err != nil {
					continue
				}
				// Two operators with equal numbers write one object, through
				// different entries; each resends until it has an answer.
				for _, operator := range []string{"ann", "bob"} {
					at := []string{w.pick(allEntries...), w.pick(allEntries...), w.pick(allEntries...)}
					w.background(func() {
						value := fmt.Sprintf("%s-%d", operator, round)
						result, ok := w.changeLabel(at, value, s.Revision())
						if !ok || result.Refusal() != nil {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						if other, twice := accepted[result.Revision()]; twice {
							w.ledger.violation("revision %d was accepted as %s and %s", result.Revision(), other, value)
						}
						if w.sameRound(accepted, round) {
							w.ledger.violation("both changes of round %d against revision %d were accepted", round, s.Revision())
						}
						accepted[result.Revision()] = value
					})
				}
				w.configFault()
			}
			w.requests.Wait()
			w.network.RestoreAll()
			for _, name := range allEntries {
				if !w.up(name) {
					w.startEntry(name)
				}
			}
			w.checkInForce(accepted)
			w.checkWholeRestart()
			watch()
		},
		seeded: map[string]func(w *world){
			"skip_base_check": func(w *world) { w.entryFaults.Config.SkipBaseCheck = true },
		},
	}.run(t)
}

func (w *world) sameRound(accepted map[uint64]string, round int) bool {
	for _, value := range accepted {
		if strings.HasSuffix(value, fmt.Sprintf("-%d", round)) {
			return true
		}
	}
	return false
}

// changeLabel writes one object and resends through other entries.
func (w *world) changeLabel(at []string, value string, base uint64) (contract.ChangeResult, bool) {
	o, err := contract.EncodeObject(contract.KindLabels, "contested", contract.NewLabelSet(vm.Labels{"value": value}, nil))
	w.must(err)
	for range 3 {
		for _, entry := range at {
			result, err := w.submit(entry, "change-"+value, base, []contract.Object{o}, nil)
			if err == nil {
				return result, true
			}
			if f := failure.Of(err); f.Ran() == failure.NotRun && f.Kind() != failure.NoQuorum && f.Kind() != failure.Unreachable && f.Kind() != failure.NotLeader {
				return result, false
			}
		}
	}
	return contract.ChangeResult{}, false
}

// configFault is a fault that the control log has to bear.
func (w *world) configFault() {
	switch w.random.IntN(4) {
	case 0:
		w.isolateFor(w.pick("entry-1", "entry-2", "entry-3"), w.millis(5000))
	case 1:
		w.killEntryFor(w.pick("entry-1", "entry-2", "entry-3"), w.millis(2000))
	case 2:
		w.cutFor("entry-1", w.pick("entry-2", "entry-3"), w.millis(4000))
	default:
		w.killAgentFor(w.pick(allAgents...), w.millis(1000))
	}
}

// watchRevisions looks at every process again and again, and reports one that
// goes back. The returned function ends it.
func (w *world) watchRevisions() (stop func()) {
	done := make(chan struct{})
	highest := map[string]uint64{}
	look := func(name string, revision uint64) {
		if revision < highest[name] {
			w.ledger.violation("%s went back from revision %d to %d", name, highest[name], revision)
		}
		highest[name] = max(highest[name], revision)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
			w.mu.Lock()
			for name, e := range w.entries {
				// An entry that has just started serves nobody yet.
				if revision, serves := e.ServedRevision(); serves {
					look(name, revision)
				}
			}
			for name, a := range w.agents {
				look(name, a.Revision())
			}
			w.mu.Unlock()
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// checkInForce checks that the last accepted change reaches every process in
// time, and that nothing else stands in its place.
func (w *world) checkInForce(accepted map[uint64]string) {
	last := uint64(0)
	for revision := range accepted {
		last = max(last, revision)
	}
	if last == 0 {
		return
	}
	w.eventually("a leader", func() bool {
		return w.call("entry-1", link.KindQuery, contract.NewQuery("", "", true), &contract.QueryResult{}) == nil ||
			w.call("entry-2", link.KindQuery, contract.NewQuery("", "", true), &contract.QueryResult{}) == nil ||
			w.call("entry-3", link.KindQuery, contract.NewQuery("", "", true), &contract.QueryResult{}) == nil
	})
	time.Sleep(inForceWithin)
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, e := range w.entries {
		if revision, serves := e.ServedRevision(); !serves || revision < last {
			w.ledger.violation("%s serves %t with revision %d; %d was accepted", name, serves, revision, last)
		}
	}
	for name, a := range w.agents {
		if a.Revision() < last {
			w.ledger.violation("%s has revision %d; %d was accepted", name, a.Revision(), last)
		}
	}
}

// checkWholeRestart ends all entries and starts them again: nothing accepted
// may be missing.
func (w *world) checkWholeRestart() {
	s, err := w.status("entry-1")
	w.must(err)
	w.note()
	for _, name := range allEntries {
		w.kill(name)
	}
	for _, name := range allEntries {
		w.startEntry(name)
	}
	w.eventually("the revision after a whole restart", func() bool {
		for _, at := range []string{"entry-1", "entry-2", "entry-3"} {
			after, err := w.status(at)
			if err != nil || after.Revision() < s.Revision() {
				return false
			}
		}
		return true
	})
}
