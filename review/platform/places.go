package main

import "sync/atomic"

// places are what a worker has for requests: it works on some at a time, queues a few more and rejects the others.
type places struct {
	slots chan struct{}
	taken atomic.Int64
	most  int64
}

func newPlaces(slots, queue int) *places {
	return &places{slots: make(chan struct{}, slots), most: int64(slots + queue)}
}

// take waits for a slot; it returns false if the worker is full.
func (p *places) take() bool {
	if p.taken.Add(1) > p.most {
		p.taken.Add(-1)
		return false
	}
	p.slots <- struct{}{}
	return true
}

func (p *places) free() {
	<-p.slots
	p.taken.Add(-1)
}
