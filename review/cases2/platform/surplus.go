package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load of playSurplus: callers who send about as much as the three workers can run, 300 requests a second.
const (
	surplusCallers  = 60
	surplusInterval = 215 * time.Millisecond
	surplusLength   = 60 * time.Second
	surplusBreak    = 60 // one in so many answers of the faulty worker breaks off
)

// playSurplus has one of three workers break off a few answers, and send a rejected health check's answer twice.
func playSurplus(d *deployment, trouble bool) outcome {
	for i := range d.cores {
		if err := d.startCore(i, true); err != nil {
			return failed
		}
	}
	for i := range 2 {
		if err := d.startFront(i); err != nil {
			return failed
		}
	}
	ran := &runs{byID: map[string][]string{}}
	var workers []*worker
	for i := range 3 {
		w := &worker{
			deployment: d, runs: ran, id: fmt.Sprintf("i-%d", i+1), service: "portal", address: d.address(plainClass, i, workerPort),
			zone: zones[i], slots: 6,
		}
		if trouble && i == 0 {
			w.breakEvery, w.repeatRejections = surplusBreak, true
		}
		workers = append(workers, w)
		if err := w.run(); err != nil {
			d.note("%v", err)
			return failed
		}
	}
	if d.put(1, 20*time.Second) < 0 {
		return failed
	}
	for i := range 2 {
		if !awaitReady(d.address(frontClass, i, readyPort), 20*time.Second) {
			return failed
		}
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), surplusLength)
	defer cancel()
	sent := &attempts{}
	var group sync.WaitGroup
	for i := range surplusCallers {
		group.Go(func() {
			sent.call(ctx, d.address(frontClass, i%2, frontPort), "unsafe", fmt.Sprint(i), surplusInterval)
		})
	}
	group.Wait()
	for _, w := range workers {
		d.note("%s: %d answers, %d broken off, %d health checks, %d surplus, %d requests and checks rejected", w.id, w.answers.Load(), w.broken.Load(), w.checks.Load(), w.surplus.Load(), w.rejected.Load())
	}
	return d.judgeOnce(ran, sent)
}

// judgeOnce checks TWICE and REFUSED for requests that may run once.
func (d *deployment) judgeOnce(ran *runs, sent *attempts) outcome {
	statuses := map[int]int{}
	twice, refused := 0, 0
	for _, a := range sent.all {
		statuses[a.status]++
		at := ran.byID[a.id]
		d.note("sent %s, answered %d, ran at %v", a.id, a.status, at)
		if len(at) > 1 {
			twice++
			d.note("TWICE: %s ran at %v, answered %d", a.id, at, a.status)
		}
		promised := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		if promised && len(at) > 0 {
			refused++
			d.note("REFUSED: %s ran at %v, answered %d", a.id, at, a.status)
		}
	}
	d.note("%d sent, %d runs, answers by status %v, run twice %d, refused though run %d", len(sent.all), ran.total, statuses, twice, refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}
