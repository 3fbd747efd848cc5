// ================================================================
// The seven promises: for each a scenario of random faults, its check, and the
// seeded faults that the check must detect.
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

// sendChats sends n chats through random entries at random times within over, and calls check with
// each response. It does not wait for them.
func (cl *cluster) sendChats(n int, over time.Duration, check func(body string, a callerResponse)) {
	for i := range n {
		at, after := cl.pick(allEntries...), cl.randomMillis(int(over/time.Millisecond))
		cl.background(func() {
			time.Sleep(after)
			body, a := cl.chat(at, fmt.Sprintf("chat-%d", i))
			check(body, a)
		})
	}
}

// checkComplete records a violation if a response looks complete but is not the one that belongs to
// the request.
func (cl *cluster) checkComplete(body string, a callerResponse) {
	if a.isComplete() && a.body != completeResponse(body) {
		cl.record.addViolation("response to %s: %q", body, a.body)
	}
}

// ----------------------------------------------------------------

func TestPromise1NoPartialWeights(t *testing.T) {
	proof{
		number: 1, name: "no_partial_or_mixed_weights",
		scenario: func(cl *cluster) {
			cl.origin.mu.Lock()
			cl.origin.corruptShare = 0.2
			cl.origin.mu.Unlock()
			cl.sendChats(40, 20*time.Second, cl.checkComplete)
			s, err := cl.status("entry-1")
			cl.must(err)
			_, err = cl.apply("entry-1", "roll", s.Revision(), "v2")
			cl.must(err)
			// The weights of v2 change at the origin during the copy, and are then restored.
			time.Sleep(cl.randomMillis(200))
			cl.countFault()
			cl.origin.put("v2", 99)
			time.Sleep(cl.randomMillis(2000))
			cl.killAgentFor(cl.pick(allAgents...), cl.randomMillis(1500))
			cl.countFault()
			cl.engines[cl.pick(allAgents...)].restart()
			cl.origin.put("v2", 2)
			cl.killAgentFor(cl.pick(allAgents...), cl.randomMillis(1500))
			cl.eventually("v2 ready everywhere", func() bool { return cl.ready("v2") == len(allAgents) })
			cl.callers.Wait()
		},
		seededFaults: map[string]func(cl *cluster){
			"skip_verify": func(cl *cluster) {
				cl.agentFaults.SkipVerify = true
				cl.origin.corruptShare = 0.2
			},
		},
	}.run(t)
}

func TestPromise2WholeAnswers(t *testing.T) {
	damageResponses := func(cl *cluster) {
		// Response parts are duplicated, swapped with the next one, or dropped.
		var mu sync.Mutex
		held := map[string]contract.ResponsePart{}
		cl.sendResponse = func(send func(contract.ResponsePart) error, part contract.ResponsePart) error {
			mu.Lock()
			defer mu.Unlock()
			if previous, ok := held[part.Attempt()]; ok {
				delete(held, part.Attempt())
				if err := send(part); err != nil {
					return err
				}
				return send(previous)
			}
			switch cl.faultRandom.IntN(30) {
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
		scenario: func(cl *cluster) {
			damageResponses(cl)
			cl.damagesResponses = true
			cl.killAgentFor("agent-3", 100*time.Millisecond)
			cl.killAgentFor("agent-2", 100*time.Millisecond)
			cl.killAgentFor("agent-5", 100*time.Millisecond)
			cl.eventually("replicas ready after their restart", func() bool { return cl.ready("v1") == len(allAgents) })
			cl.sendChats(60, 5*time.Second, cl.checkComplete)
			time.Sleep(cl.randomMillis(2000))
			cl.killAgentFor(cl.pick(allAgents...), cl.randomMillis(500))
			cl.cutLinkFor(cl.pick(allEntries...), cl.pick(allAgents...), cl.randomMillis(8000))
			cl.countFault()
			cl.engines[cl.pick(allAgents...)].restart()
			cl.callers.Wait()
		},
		seededFaults: map[string]func(cl *cluster){
			"skip_answer_check": func(cl *cluster) { cl.entryFaults.SkipResponseCheck = true },
		},
	}.run(t)
}

// ----------------------------------------------------------------

func TestPromise3NotRunIsTrue(t *testing.T) {
	proof{
		number: 3, name: "not_run_is_true",
		scenario: func(cl *cluster) {
			var mu sync.Mutex
			var notRun []string
			check := func(body string, a callerResponse) {
				if a.saysNotRun() {
					mu.Lock()
					defer mu.Unlock()
					notRun = append(notRun, body)
				}
			}
			cl.sendChats(60, 12*time.Second, check)
			for i := range 30 {
				at, after := cl.pick(allEntries...), cl.randomMillis(12000)
				key := ""
				if i%2 == 0 {
					key = fmt.Sprintf("key-%d", i)
				}
				cl.background(func() {
					time.Sleep(after)
					body := fmt.Sprintf("order-%d", i)
					check(body, cl.orderFromService(at, key, body))
				})
			}
			for range 5 {
				cl.service.setMode(cl.pick(modeNormal, modeLoseResponse))
				cl.randomFault()
			}
			cl.callers.Wait()
			for _, body := range notRun {
				if n := cl.record.runCount(body); n > 0 {
					cl.record.addViolation("%q was reported as not run but was executed %d times", body, n)
				}
			}
		},
		seededFaults: map[string]func(cl *cluster){
			"say_not_run": func(cl *cluster) { cl.entryFaults.ReportNotRun = true },
		},
	}.run(t)
}

// randomFault injects one fault of a random kind and returns after it has ended.
func (cl *cluster) randomFault() {
	switch cl.random.IntN(5) {
	case 0:
		cl.killAgentFor(cl.pick(allAgents...), cl.randomMillis(3000))
	case 1:
		cl.cutLinkFor(cl.pick(allEntries...), cl.pick(allAgents...), cl.randomMillis(6000))
	case 2:
		cl.isolateFor(cl.pick(allEntries...), cl.randomMillis(4000))
	case 3:
		cl.countFault()
		cl.engines[cl.pick(allAgents...)].restart()
		time.Sleep(cl.randomMillis(1000))
	default:
		cl.killEntryFor(cl.pick("entry-2", "entry-3", "entry-4"), cl.randomMillis(2000))
	}
}

// ----------------------------------------------------------------

func TestPromise4AtMostOnce(t *testing.T) {
	proof{
		number: 4, name: "not_repeatable_runs_at_most_once",
		scenario: func(cl *cluster) {
			const orders = 25
			// Some attempts are delayed between claim and send, some of them beyond their deadline.
			cl.beforeSend = cl.randomSendDelay()
			for i := range orders {
				at := []string{cl.pick(allEntries...), cl.pick(allEntries...), cl.pick(allEntries...)}
				after := cl.randomMillis(10000)
				cl.background(func() {
					time.Sleep(after)
					body, key := fmt.Sprintf("order-%d", i), fmt.Sprintf("key-%d", i)
					for _, entry := range at {
						// A caller without a response retries through another entry, with the same key.
						if a := cl.orderFromService(entry, key, body); a.isComplete() {
							return
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
			}
			for range 5 {
				cl.service.setMode(cl.pick(modeNormal, modeNormal, modeLoseResponse))
				cl.randomFault()
			}
			cl.service.setMode(modeNormal)
			cl.callers.Wait()
			for i := range orders {
				if n := cl.record.runCount(fmt.Sprintf("order-%d", i)); n > 1 {
					cl.record.addViolation("order-%d was executed %d times", i, n)
				}
			}
		},
		seededFaults: map[string]func(cl *cluster){
			"skip_claim":     func(cl *cluster) { cl.entryFaults.SkipClaim = true },
			"retry_anything": func(cl *cluster) { cl.entryFaults.RetryAlways = true },
		},
	}.run(t)
}

// randomSendDelay returns a hook that delays one attempt in eight by 5 s and one in eight by 25 s,
// which is longer than the callers' deadline of 20 s.
func (cl *cluster) randomSendDelay() func(string) {
	var mu sync.Mutex
	return func(string) {
		mu.Lock()
		n := cl.faultRandom.IntN(8)
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

// noNewWorkAfter is how long a backend server may still get new requests after it has begun to
// leave.
const noNewWorkAfter = 3 * time.Second

func TestPromise5LeavingGetsNothingNew(t *testing.T) {
	proof{
		number: 5, name: "leaving_gets_nothing_new",
		scenario: func(cl *cluster) {
			// In half of the runs the leaving VM's link to one of its two entries is cut, so that this
			// entry does not get its heartbeats, and the platform does not announce the withdrawal.
			leaving := cl.pick("agent-1", "agent-2")
			cl.background(func() { cl.chat("entry-1", "slow") })
			cl.sendChats(150, 16*time.Second, cl.checkComplete)
			time.Sleep(cl.randomMillis(1000))
			if cl.random.IntN(2) == 0 {
				cl.background(func() { cl.cutLinkFor("entry-4", leaving, 3*time.Second) })
			}
			engine := cl.engines[leaving]
			engine.blockResponses()
			cl.must(cl.call("entry-1", link.KindDrain, contract.NewDrainRequest(vm.ID(leaving), "test"), &contract.Acknowledgement{}))
			cl.countFault()
			time.Sleep(noNewWorkAfter)
			before := engine.requestsReceived()
			time.Sleep(8 * time.Second)
			if n := engine.requestsReceived() - before; n > 0 {
				cl.record.addViolation("%s got %d new requests more than %s after it had begun to leave", leaving, n, noNewWorkAfter)
			}
			engine.unblockResponses()
			cl.callers.Wait()
		},
		seededFaults: map[string]func(cl *cluster){
			"take_while_draining": func(cl *cluster) {
				cl.agentFaults.AdmitWhileDraining = true
				cl.entryFaults.SendToLeavingAgents = true
			},
		},
	}.run(t)
}

// ----------------------------------------------------------------

func TestPromise6PlannedStopCutsNothing(t *testing.T) {
	proof{
		number: 6, name: "planned_stop_cuts_off_nothing",
		scenario: func(cl *cluster) {
			stopping := cl.pick("entry-2", "entry-4")
			var others []string
			for _, e := range allEntries {
				if e != stopping {
					others = append(others, e)
				}
			}
			check := func(body string, a callerResponse) {
				if !a.isComplete() || a.body != completeResponse(body) {
					cl.record.addViolation("a planned stop interrupted %s: %+v", body, a)
				}
			}
			for i := range 120 {
				after := cl.randomMillis(5000)
				at := cl.pick(others...)
				if after < 2200*time.Millisecond {
					// The load balancer uses this entry until /readyz reports it as not ready.
					at = cl.pick(allEntries...)
				}
				cl.background(func() {
					time.Sleep(after)
					body, a := cl.chat(at, fmt.Sprintf("chat-%d", i))
					check(body, a)
				})
			}
			time.Sleep(2 * time.Second)
			cl.countFault()
			entryDone := cl.terminate(stopping)
			cl.countFault()
			agentDone := cl.terminate(cl.pick("agent-1", "agent-3"))
			<-agentDone
			<-entryDone
			cl.callers.Wait()
		},
		seededFaults: map[string]func(cl *cluster){
			"entry_drains_at_once": func(cl *cluster) { cl.entryFaults.SkipDrainWait = true },
			"agent_drains_at_once": func(cl *cluster) { cl.agentFaults.SkipDrainWait = true },
		},
	}.run(t)
}

// ----------------------------------------------------------------

// inForceWithin bounds the time until an accepted change is in force on every process, once all
// links work.
const inForceWithin = 6 * time.Second

func TestPromise7ConfigurationHolds(t *testing.T) {
	proof{
		number: 7, name: "accepted_configuration_in_force_and_never_reverts",
		scenario: func(cl *cluster) {
			stopWatching := cl.watchRevisions()
			accepted := map[uint64]string{}
			var mu sync.Mutex
			for round := range 6 {
				s, err := cl.status(cl.pick("entry-1", "entry-2", "entry-3"))
				if err != nil {
					continue
				}
				// Two operators change the same object against the same base revision, through
				// different entries; each resends until it gets a result.
				for _, operator := range []string{"ann", "bob"} {
					at := []string{cl.pick(allEntries...), cl.pick(allEntries...), cl.pick(allEntries...)}
					cl.background(func() {
						value := fmt.Sprintf("%s-%d", operator, round)
						result, ok := cl.changeLabel(at, value, s.Revision())
						if !ok || result.Refusal() != nil {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						if previous, exists := accepted[result.Revision()]; exists {
							cl.record.addViolation("revision %d was accepted as %s and %s", result.Revision(), previous, value)
						}
						if cl.isRoundAccepted(accepted, round) {
							cl.record.addViolation("both changes of round %d against revision %d were accepted", round, s.Revision())
						}
						accepted[result.Revision()] = value
					})
				}
				cl.controlLogFault()
			}
			cl.callers.Wait()
			cl.network.RestoreAll()
			for _, name := range allEntries {
				if !cl.isRunning(name) {
					cl.startEntry(name)
				}
			}
			cl.checkInForce(accepted)
			cl.checkFullRestart()
			stopWatching()
		},
		seededFaults: map[string]func(cl *cluster){
			"skip_base_check": func(cl *cluster) { cl.entryFaults.Config.SkipBaseCheck = true },
		},
	}.run(t)
}

// isRoundAccepted reports whether a change of the round is among the accepted ones.
func (cl *cluster) isRoundAccepted(accepted map[uint64]string, round int) bool {
	for _, value := range accepted {
		if strings.HasSuffix(value, fmt.Sprintf("-%d", round)) {
			return true
		}
	}
	return false
}

// changeLabel submits a change of one object, and resends it through the other entries unless it
// was refused for good. It reports whether it got a result.
func (cl *cluster) changeLabel(at []string, value string, base uint64) (contract.ChangeResult, bool) {
	o, err := contract.EncodeObject(contract.KindLabels, "contested", contract.NewLabelSet(vm.Labels{"value": value}, nil))
	cl.must(err)
	for range 3 {
		for _, entry := range at {
			result, err := cl.submit(entry, "change-"+value, base, []contract.Object{o}, nil)
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

// controlLogFault injects a random fault that the control log must tolerate.
func (cl *cluster) controlLogFault() {
	switch cl.random.IntN(4) {
	case 0:
		cl.isolateFor(cl.pick("entry-1", "entry-2", "entry-3"), cl.randomMillis(5000))
	case 1:
		cl.killEntryFor(cl.pick("entry-1", "entry-2", "entry-3"), cl.randomMillis(2000))
	case 2:
		cl.cutLinkFor("entry-1", cl.pick("entry-2", "entry-3"), cl.randomMillis(4000))
	default:
		cl.killAgentFor(cl.pick(allAgents...), cl.randomMillis(1000))
	}
}

// watchRevisions polls the revision of every process and records a violation if one decreases. The
// returned function ends the polling.
func (cl *cluster) watchRevisions() (stop func()) {
	done := make(chan struct{})
	highest := map[string]uint64{}
	check := func(name string, revision uint64) {
		if revision < highest[name] {
			cl.record.addViolation("the revision of %s decreased from %d to %d", name, highest[name], revision)
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
			cl.mu.Lock()
			for name, e := range cl.entries {
				// An entry that has just started may not have a configuration yet.
				if revision, serves := e.ServedRevision(); serves {
					check(name, revision)
				}
			}
			for name, a := range cl.agents {
				check(name, a.Revision())
			}
			cl.mu.Unlock()
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// checkInForce records a violation for every process that does not have the last accepted revision
// within inForceWithin.
func (cl *cluster) checkInForce(accepted map[uint64]string) {
	last := uint64(0)
	for revision := range accepted {
		last = max(last, revision)
	}
	if last == 0 {
		return
	}
	cl.eventually("a leader", func() bool {
		return cl.call("entry-1", link.KindQuery, contract.NewQuery("", "", true), &contract.QueryResult{}) == nil ||
			cl.call("entry-2", link.KindQuery, contract.NewQuery("", "", true), &contract.QueryResult{}) == nil ||
			cl.call("entry-3", link.KindQuery, contract.NewQuery("", "", true), &contract.QueryResult{}) == nil
	})
	time.Sleep(inForceWithin)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for name, e := range cl.entries {
		if revision, serves := e.ServedRevision(); !serves || revision < last {
			cl.record.addViolation("%s serves %t with revision %d; %d was accepted", name, serves, revision, last)
		}
	}
	for name, a := range cl.agents {
		if a.Revision() < last {
			cl.record.addViolation("%s has revision %d; %d was accepted", name, a.Revision(), last)
		}
	}
}

// checkFullRestart kills all entries and starts them again: no accepted revision may be lost.
func (cl *cluster) checkFullRestart() {
	s, err := cl.status("entry-1")
	cl.must(err)
	cl.countFault()
	for _, name := range allEntries {
		cl.kill(name)
	}
	for _, name := range allEntries {
		cl.startEntry(name)
	}
	cl.eventually("the revision after a restart of all entries", func() bool {
		for _, at := range []string{"entry-1", "entry-2", "entry-3"} {
			after, err := cl.status(at)
			if err != nil || after.Revision() < s.Revision() {
				return false
			}
		}
		return true
	})
}
