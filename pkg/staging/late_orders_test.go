package staging

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// offersOnlyIntactLoads runs the control loop of a stager for a time. It fails the test if a version is offered with a chunk that had been corrupt for longer
// than maxVerificationAge when it was loaded, and returns the last version that was offered.
func offersOnlyIntactLoads(t *testing.T, e *standinEngine, s *Stager, limit time.Duration) (last uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = s.reconcileLoop(ctx) }()
	for startedAt := time.Now(); time.Since(startedAt) < limit; {
		time.Sleep(50 * time.Millisecond)
		load, ok := s.load(ctx)
		if !ok || load.Busy() || load.Version() < 2 {
			continue
		}
		last = load.Version()
		if worst, intact := e.isIntact(last); !intact {
			t.Errorf("after %s version %d is offered, and a chunk had been corrupt for %s when it was loaded", time.Since(startedAt), last, worst)
			break
		}
	}
	cancel()
	time.Sleep(2 * rolloutTime) // calls that are under way end
	return last
}

// instant is a time that goroutines share; the zero time until it is set.
type instant struct{ nanoseconds atomic.Int64 }

func (i *instant) set(at time.Time) { i.nanoseconds.Store(at.UnixNano()) }

func (i *instant) get() time.Time {
	n := i.nanoseconds.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// onOrder calls f, concurrently, when the stager sends its n-th order.
func onOrder(s *Stager, n int, f func()) {
	send := s.protocol.SendOrder
	sent := 0
	s.protocol.SendOrder = func(ctx context.Context, engine string, o Order) error {
		if sent++; sent == n {
			go f()
		}
		return send(ctx, engine, o)
	}
}

// stallChunks makes the calls for chunks stand still while until is in the future, as those of a process that is
// stopped.
func stallChunks(s *Stager, until func() time.Time) {
	get, put := s.protocol.GetChunk, s.protocol.PutChunk
	s.protocol.GetChunk = func(ctx context.Context, engine, model string, number int) ([]byte, error) {
		time.Sleep(time.Until(until()))
		return get(ctx, engine, model, number)
	}
	s.protocol.PutChunk = func(ctx context.Context, engine, model string, number int, data []byte) error {
		time.Sleep(time.Until(until()))
		return put(ctx, engine, model, number, data)
	}
}

// Guards against a chunk that was corrupt when it was loaded, is written again after that, and is then read back
// intact: the engine's calls for chunks stand still from the order until after the load, whose answer is lost.
func TestChunkRewrittenAfterLoadDoesNotProveTheLoadSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		s := stagerOf(t, e)
		name(s, c)
		const takenAfter = 3400 * time.Millisecond
		e.orderDelay = func(sequence uint64) time.Duration {
			if sequence > 0 {
				return 0
			}
			return takenAfter
		}
		e.losesAnswer = func(sequence uint64) bool { return sequence == 0 }
		var stalledUntil instant
		stallChunks(s, stalledUntil.get)
		onOrder(s, 1, func() {
			stalledUntil.set(time.Now().Add(takenAfter + 10*time.Millisecond))
			e.spoil(0)
		})
		if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 2 {
			t.Errorf("version %d is offered at the end", last)
		}
	})
}

// Guards against a verification that is dated before the corrupt chunk was replaced: a write counts from its
// beginning, but until its end the engine still loads what was there before.
func TestSlowRewriteDoesNotHideCorruptChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		s := stagerOf(t, e)
		name(s, c)
		const (
			readEnds  = 2400 * time.Millisecond
			takenAt   = 3520 * time.Millisecond
			writeEnds = 3600 * time.Millisecond
		)
		e.orderDelay = func(sequence uint64) time.Duration {
			if sequence > 0 {
				return 0
			}
			return takenAt
		}
		e.losesAnswer = func(sequence uint64) bool { return sequence == 0 }
		var orderedAt instant
		get, put := s.protocol.GetChunk, s.protocol.PutChunk
		s.protocol.GetChunk = func(ctx context.Context, engine, model string, number int) ([]byte, error) {
			if number == 0 && !orderedAt.get().IsZero() {
				time.Sleep(time.Until(orderedAt.get().Add(readEnds)))
			}
			return get(ctx, engine, model, number)
		}
		s.protocol.PutChunk = func(ctx context.Context, engine, model string, number int, data []byte) error {
			if number == 0 && !orderedAt.get().IsZero() {
				time.Sleep(time.Until(orderedAt.get().Add(writeEnds)))
			}
			return put(ctx, engine, model, number, data)
		}
		onOrder(s, 1, func() {
			orderedAt.set(time.Now())
			e.spoil(0)
		})
		if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 2 {
			t.Errorf("version %d is offered at the end", last)
		}
	})
}

// crash makes the engine lose its layers and its order count, as a restart does. Its staged chunks remain, and the
// report doesn't tell when it started.
func (e *standinEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence, e.version, e.layers, e.busy = 0, 0, layerRange{}, false
	clear(e.badFor)
}

// Guards against a load that is taken for that of an earlier start of the engine, because both have the same order
// count: the report doesn't tell when the engine started, the order's call times out, and the chunks of the
// engine can't be read around the load.
func TestLoadAfterRestartIsNotTakenForTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		s := stagerOf(t, e)
		name(s, c)
		const takenAfter = orderTimeout + 3*time.Second
		var crashed atomic.Bool
		e.orderDelay = func(uint64) time.Duration {
			if crashed.Load() {
				return takenAfter
			}
			return 0
		}
		var stallEnds instant
		stallChunks(s, stallEnds.get)
		onOrder(s, 2, func() {
			orderedAt := time.Now()
			time.Sleep(orderTimeout - time.Second)
			stallEnds.set(orderedAt.Add(takenAfter + 500*time.Millisecond))
			e.spoil(testChunks / 2)
		})
		time.AfterFunc(10*time.Second, func() {
			crashed.Store(true)
			e.crash()
		})
		if last := offersOnlyIntactLoads(t, e, s, 2*rolloutTime); last != 2 {
			t.Errorf("version %d is offered at the end", last)
		}
	})
}
