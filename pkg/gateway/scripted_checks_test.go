package gateway

import (
	"fmt"
	"slices"
	"time"
)

// at returns a time as an offset from the start of the world.
func (w *scriptedWorld) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Sub(w.started).Round(time.Millisecond).String()
}

// runsOf returns the runs of a request at all engines.
func (w *scriptedWorld) runsOf(id string) (all []scriptedRun) {
	for _, e := range w.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.requestID == id {
				all = append(all, *r)
			}
		}
		e.mu.Unlock()
	}
	return all
}

// describe returns the runs of a request as text.
func (w *scriptedWorld) describe(id string) string {
	text := ""
	for _, r := range w.runsOf(id) {
		text += fmt.Sprintf("\n  at %s: received %s, began %s, closed by the gateway %s, ended %s, refused %t, complete %t",
			r.engine.name, w.at(r.receivedAt), w.at(r.beganAt), w.at(r.closedAt), w.at(r.endedAt), r.refused, r.complete)
	}
	return text
}

// checkComplete fails the test if a caller did not get its complete answer in time, each event
// once and in order.
func (w *scriptedWorld) checkComplete(c *streamCaller) {
	<-c.done
	time.Sleep(time.Millisecond) // the engines see what happened at the end
	c.mu.Lock()
	body, ended := c.body.String(), c.ended
	c.mu.Unlock()
	if body != events(1, c.lastEvent) || ended.After(c.deadline) {
		w.t.Errorf("LOST %s: %d of %d events, in order %t, ended at %s, deadline %s; runs:%s", c.id, c.events, c.lastEvent, body == events(1, c.events),
			w.at(ended), w.at(c.deadline), w.describe(c.id))
	}
}

// hasEventBetween reports whether the engine sent an event of the run between two times.
func (r scriptedRun) hasEventBetween(from, until time.Time) bool {
	return slices.ContainsFunc(r.eventsAt, func(at time.Time) bool { return !at.Before(from) && !at.After(until) })
}

// checkNotInterrupted fails the test if a gateway closed a run of a stream before another run of it had
// a further event, and the engine continued before the caller's deadline.
func (w *scriptedWorld) checkNotInterrupted(c *streamCaller) {
	<-c.done
	runs := w.runsOf(c.id)
	for _, r := range runs {
		if r.refused || r.broken || r.closedAt.IsZero() || !r.endedAt.IsZero() && r.endedAt.Before(r.closedAt) || r.closedAt.After(c.ended) || !r.closedAt.Before(c.deadline) {
			continue
		}
		since := r.receivedAt
		if len(r.eventsAt) > 0 {
			since = r.eventsAt[len(r.eventsAt)-1].Add(time.Nanosecond)
		}
		replaced := slices.ContainsFunc(runs, func(other scriptedRun) bool { return other.hasEventBetween(since, r.closedAt) })
		r.engine.mu.Lock()
		silenced, continues := !r.engine.silencedAt.IsZero(), r.engine.stillUntil
		r.engine.mu.Unlock()
		if !replaced && !silenced && continues.Before(c.deadline) {
			w.t.Errorf("INTERRUPTED %s at %s although its engine continues at %s; runs:%s", c.id, r.engine.name, w.at(continues), w.describe(c.id))
		}
	}
}

// checkKept is checkComplete and checkNotInterrupted.
func (w *scriptedWorld) checkKept(callers ...*streamCaller) {
	for _, c := range callers {
		w.checkComplete(c)
		w.checkNotInterrupted(c)
	}
}

// checkNoRunIsLeft fails the test if a run has an open connection; those that drop all bytes don't
// count.
func (w *scriptedWorld) checkNoRunIsLeft() {
	for _, e := range w.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.endedAt.IsZero() && r.closedAt.IsZero() {
				w.t.Errorf("LEFT RUNNING %s at %s, received %s", r.requestID, e.name, w.at(r.receivedAt))
			}
		}
		e.mu.Unlock()
	}
}

// sleepUntil sleeps until a time after the start of the world.
func (w *scriptedWorld) sleepUntil(after time.Duration) { time.Sleep(time.Until(w.started.Add(after))) }
