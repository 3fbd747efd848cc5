// ================================================================
// Case: two workers of a service leave at the same moment, and the control node that has acknowledged both is
// killed just after the second acknowledgement.
// ================================================================

package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	// steadyTime is how long traffic runs before the workers leave.
	steadyTime = 4 * time.Second
	// serveOn is how long a worker that has left serves on: drain_ms and some seconds.
	serveOn = 12 * time.Second
	// slack keeps requests near a bound from being counted.
	slack = 300 * time.Millisecond
)

func departure(ctx context.Context, r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, 3, 3)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(ctx, 1); err != nil {
		return false, err
	}
	const acknowledging = 0
	var workers []*worker
	for i := range 5 {
		node := i % d.controls
		if i >= 3 {
			node = acknowledging
		}
		w := newWorker(d, fmt.Sprintf("i-%d", i+1), i, node, 60*time.Millisecond)
		w.run(ctx)
		defer w.end()
		workers = append(workers, w)
	}
	time.Sleep(startupWait)
	c := newClients(d)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loadEnded := make(chan struct{})
	go func() {
		defer close(loadEnded)
		c.load(loadCtx, 12*time.Millisecond)
	}()
	time.Sleep(steadyTime)

	first, second := workers[3], workers[4]
	if len(first.snapshot()) == 0 || len(second.snapshot()) == 0 {
		return false, fmt.Errorf("%w: a worker got no request before it left", errCannotRun)
	}
	if by := first.leave(ctx); by != acknowledging {
		return false, fmt.Errorf("%w: the first departure was acknowledged by node %d", errCannotRun, by)
	}
	r.say("%s has left, acknowledged by %s", first, controlName(acknowledging))
	by := second.leave(ctx)
	acknowledgedAt := time.Now()
	if by != acknowledging {
		return false, fmt.Errorf("%w: the second departure was acknowledged by node %d", errCannotRun, by)
	}
	inTouchAt := acknowledgedAt
	if trouble {
		d.signal(controlName(acknowledging), departureSignal())
		d.wait(controlName(acknowledging))
	}
	r.say("%s has left at %.3f s, acknowledged by %s", second, r.at(acknowledgedAt), controlName(acknowledging))
	if trouble {
		time.Sleep(restartDelay)
		if err := d.startControl(acknowledging, false); err != nil {
			return false, err
		}
		inTouchAt = time.Now().Add(contact)
	}
	time.Sleep(time.Until(acknowledgedAt.Add(serveOn)))
	first.end()
	second.end()
	time.Sleep(time.Second)
	stopLoad()
	<-loadEnded

	return reportDeparture(r, c, second, acknowledgedAt, inTouchAt), nil
}

// reportDeparture reports the requests that reached a worker that had left, and whether the rule was broken.
func reportDeparture(r *record, c *clients, w *worker, acknowledgedAt, inTouchAt time.Time) (broken bool) {
	late, lost := 0, 0
	var firstLate, lastLate time.Time
	for _, a := range w.snapshot() {
		sent, known := c.get(a.id)
		if !known || a.at.Before(acknowledgedAt.Add(drainBound+slack)) || sent.sentAt.Before(inTouchAt.Add(slack)) {
			continue
		}
		if late == 0 {
			firstLate = a.at
		}
		late, lastLate = late+1, a.at
		r.log("late    %s reached %s %.3f s after the acknowledgement", a.id, w, a.at.Sub(acknowledgedAt).Seconds())
		if !a.finished {
			lost++
			r.log("lost    %s was cut off by the end of %s; its client saw %d %.80s", a.id, w, sent.status, sent.detail)
		}
	}
	if late == 0 {
		r.say("no request sent by machines in touch reached %s later than drain_ms after the acknowledgement", w)
		return false
	}
	r.say("%d requests that were sent by machines in touch reached %s from %.3f to %.3f s after it was acknowledged as gone (drain_ms is %v); %d were cut off when it ended",
		late, w, firstLate.Sub(acknowledgedAt).Seconds(), lastLate.Sub(acknowledgedAt).Seconds(), drainBound, lost)
	return true
}

// departureSignal is the signal that ends the control node: SIGTERM if SIGNAL=TERM asks for a planned restart.
func departureSignal() syscall.Signal {
	if os.Getenv("SIGNAL") == "TERM" {
		return syscall.SIGTERM
	}
	return syscall.SIGKILL
}
