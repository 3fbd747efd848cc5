package staging

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

const (
	// randomSeeds is the number of runs with random faults, faultTime how long faults come in each, and
	// calmTime the time after that by whose end the newest version must be offered.
	randomSeeds = 40
	faultTime   = 100 * time.Second
	calmTime    = 60 * time.Second
)

// randomFaults are faults that a seed draws: slow calls, standstills of the stager's process, orders that
// are taken late and answers that are lost. It is safe for concurrent use.
type randomFaults struct {
	engine *standinEngine

	mu                  sync.Mutex
	random              *rand.Rand
	readTime, writeTime time.Duration
	stalledUntil        time.Time
	starts              int // of the engine: an order that was sent before a restart is lost
	calm                bool
}

func (f *randomFaults) pick(milliseconds ...int) time.Duration {
	return time.Duration(milliseconds[f.random.IntN(len(milliseconds))]) * time.Millisecond
}

// times returns how long calls for chunks take now.
func (f *randomFaults) times() (read, write time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readTime, f.writeTime
}

// stall waits while the process stands still.
func (f *randomFaults) stall() {
	f.mu.Lock()
	until := f.stalledUntil
	f.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (f *randomFaults) isStalled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.stalledUntil)
}

// step draws one fault, or the name of the next version, which it reports.
func (f *randomFaults) step() (nextVersion bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.random.IntN(14) {
	case 0, 1, 2:
		f.readTime = f.pick(0, 0, 5, 40, 120, 400, 900)
	case 3, 4:
		f.writeTime = f.pick(0, 5, 5, 100, 800)
	case 5, 6, 7:
		f.stalledUntil = time.Now().Add(f.pick(300, 1000, 3500, 5000))
	case 8:
		f.starts++
		f.engine.crash()
	case 9, 10:
		return true
	}
	return false
}

// endFaults ends all faults.
func (f *randomFaults) endFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calm = true
	f.readTime, f.writeTime = 5*time.Millisecond, 5*time.Millisecond
}

// order draws what becomes of an order.
func (f *randomFaults) order() (delay time.Duration, losesAnswer bool, start int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.calm {
		delay, losesAnswer = f.pick(0, 0, 0, 1000, 3500, 7000, 11000), f.random.IntN(4) == 0
	}
	return delay, losesAnswer, f.starts
}

func (f *randomFaults) hasRestartedSince(start int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts != start
}

// protocol returns the engine's protocol with the faults.
func (f *randomFaults) protocol() Protocol {
	p := f.engine.protocol()
	get, put, report := p.GetChunk, p.PutChunk, p.ReadReport
	p.GetChunk = func(ctx context.Context, engine, model string, number int) ([]byte, error) {
		defer f.stall()
		f.stall()
		read, _ := f.times()
		if err := sleep(ctx, read); err != nil {
			return nil, err
		}
		return get(ctx, engine, model, number)
	}
	p.PutChunk = func(ctx context.Context, engine, model string, number int, data []byte) error {
		defer f.stall()
		f.stall()
		_, write := f.times()
		if err := sleep(ctx, write); err != nil {
			return err
		}
		return put(ctx, engine, model, number, data)
	}
	p.ReadReport = func(ctx context.Context, engine string) (Report, error) {
		defer f.stall()
		f.stall()
		return report(ctx, engine)
	}
	p.SendOrder = f.sendOrder
	return p
}

func (f *randomFaults) sendOrder(ctx context.Context, _ string, o Order) error {
	defer f.stall()
	f.stall()
	delay, losesAnswer, start := f.order()
	answer := make(chan error, 1)
	go func() {
		time.Sleep(delay)
		if f.hasRestartedSince(start) {
			return
		}
		err := f.engine.load(o)
		if !losesAnswer {
			answer <- err
		}
	}()
	select {
	case <-ctx.Done():
		return failure.New(failure.Unreachable, "%v", ctx.Err())
	case err := <-answer:
		return err
	}
}

// Guards against loads that are offered although a chunk had been corrupt for longer than
// maxVerificationAge, in interleavings that nobody thought of, and against engines left without a version.
func TestLoadsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRandomFaults(t, seed) })
		})
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	var copies []*weightsCopy
	for version := range uint64(6) {
		copies = append(copies, fullCopy(t, version+2))
	}
	e := newStandinEngine(copies...)
	e.writeTime = 0
	f := &randomFaults{engine: e, random: rand.New(rand.NewPCG(seed, seed)), writeTime: 5 * time.Millisecond}
	s := stagerOf(t, e)
	s.protocol = f.protocol()
	ctx, cancel := context.WithCancel(t.Context())
	go e.spoilAtRandom(ctx, seed, f.pick(20, 100, 200))
	go func() { _ = s.reconcileLoop(ctx) }()
	named := 0
	nameNext := func() {
		if named < len(copies) {
			name(s, copies[named])
			named++
		}
	}
	nameNext()
	var last uint64
	startedAt := time.Now()
	for step := 1; time.Since(startedAt) < faultTime+calmTime; step++ {
		time.Sleep(50 * time.Millisecond)
		if step%20 == 0 && time.Since(startedAt) < faultTime && f.step() {
			nameNext()
		}
		if time.Since(startedAt) > faultTime {
			f.endFaults()
		}
		if f.isStalled() {
			continue
		}
		version, intact := offered(ctx, t, e, s)
		if version > 0 {
			last = version
		}
		if !intact {
			t.Logf("after %s", time.Since(startedAt))
			break
		}
	}
	if newest := copies[named-1].manifest.version; last != newest && !t.Failed() {
		t.Errorf("version %d is offered at the end, and version %d is the newest", last, newest)
	}
	cancel()
	time.Sleep(2 * rolloutTime)
}
