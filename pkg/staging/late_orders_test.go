package staging

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// offersOnlyIntactLoads runs the control loop of a stager for a time, and returns the last version that was
// offered. It fails the test if a version is offered with a chunk that had been corrupt for longer than
// maxVerificationAge when it was loaded.
func offersOnlyIntactLoads(t *testing.T, e *standinEngine, s *Stager, limit time.Duration) (last uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = s.reconcileLoop(ctx) }()
	for startedAt := time.Now(); time.Since(startedAt) < limit; {
		time.Sleep(50 * time.Millisecond)
		version, intact := offered(ctx, t, e, s)
		if version > 0 {
			last = version
		}
		if !intact {
			t.Logf("after %s", time.Since(startedAt))
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

// Guards against reads so slow that the calls begun last end when the chunks verified first are too old, so that no
// order is sent although whole layers are verified in time.
func TestSlowReadsDoNotKeepOrdersFromBeingSent(t *testing.T) {
	for _, readTime := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 1800 * time.Millisecond} {
		t.Run(readTime.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := fullCopy(t, 2)
				e := newStandinEngine(c)
				e.readTime = readTime
				s := stagerOf(t, e)
				name(s, c)
				offersOnlyIntactLoads(t, e, s, rolloutTime)
				if e.orders == 0 {
					t.Errorf("the engine got no order within %s", rolloutTime)
				}
			})
		})
	}
}

// Guards against an engine that refuses to drop layers and is out of service for ever, also for later versions.
func TestEngineThatRefusesToDropLayersGetsNextVersion(t *testing.T) {
	for label, kind := range map[string]failure.Kind{"a higher fencing token was seen": failure.StaleOrder, "no such order": failure.BackendFailed} {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				second, third := fullCopy(t, 2), fullCopy(t, 3)
				e := newStandinEngine(second, third)
				s := stagerOf(t, e)
				send := s.protocol.SendOrder
				s.protocol.SendOrder = func(ctx context.Context, engine string, o Order) error {
					if o.Version == 2 {
						return failure.New(kind, "%s", label)
					}
					return send(ctx, engine, o)
				}
				if _, ok := s.load(t.Context()); !ok {
					t.Fatal("no load")
				}
				// The order of an earlier process is taken now. Nothing is staged, so all layers are corrupt.
				time.Sleep(maxVerificationAge + time.Second)
				if err := e.load(Order{Version: 2}); err != nil {
					t.Fatal(err)
				}
				name(s, third)
				if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 3 {
					t.Errorf("version %d is offered at the end, and the engine took %d orders", last, e.orders)
				}
			})
		})
	}
}

// Guards against sound layers that are dropped because a chunk could not be read back or the manifest was not found
// at one moment.
func TestUnknownChunksDoNotCountAsCorrupt(t *testing.T) {
	for label, fail := range map[string]func(s *Stager, until time.Time){
		"reads fail": func(s *Stager, until time.Time) {
			get := s.protocol.GetChunk
			s.protocol.GetChunk = func(ctx context.Context, engine, model string, number int) ([]byte, error) {
				if time.Now().Before(until) {
					return nil, failure.New(failure.Unreachable, "no answer")
				}
				return get(ctx, engine, model, number)
			}
		},
		"the manifest is unavailable": func(s *Stager, until time.Time) {
			copies := s.copies
			s.copies = map[string][]*weightsCopy{}
			time.AfterFunc(time.Until(until), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.copies = copies
			})
		},
	} {
		t.Run(label, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := fullCopy(t, 2)
				e := newStandinEngine(c)
				e.stage(c)
				if err := e.load(Order{Version: 2}); err != nil {
					t.Fatal(err)
				}
				s := stagerOf(t, e) // beside the load that an earlier process ordered
				name(s, c)
				fail(s, time.Now().Add(2*time.Second))
				if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 2 {
					t.Errorf("version %d is offered at the end", last)
				}
				if e.orders > 1 {
					t.Errorf("the engine got %d further orders, and its load was sound", e.orders-1)
				}
			})
		})
	}
}

// Guards against a crash where the configuration names fewer layers than the engine reports.
func TestEngineWithMoreLayersThanConfigured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		s := stagerOf(t, e)
		engine := serviceconfig.NewEngine(16, []string{"menu"}, 0, testChunks, 8, time.Millisecond, 0, 0, 0, 0, 0, 0)
		service := serviceconfig.NewService("", "", 0, "", engine, true, 0)
		s.index.Advance(serviceconfig.NewDocument(2, nil, []serviceconfig.Service{service}, nil, serviceconfig.Limits{}))
		name(s, c)
		if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 2 {
			t.Errorf("version %d is offered at the end", last)
		}
	})
}

// Guards against chunks that this process stages after the engine has taken the order of an earlier process for the
// same version, and that are then read back intact.
func TestChunkStagedAfterLoadDoesNotProveTheLoadSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		e.stage(c)
		e.spoil(testChunks / 2)
		s := stagerOf(t, e)
		put := s.protocol.PutChunk
		var puts atomic.Int64
		s.protocol.PutChunk = func(ctx context.Context, engine, model string, number int, data []byte) error {
			if puts.Add(1) == 1 {
				if err := e.load(Order{Version: 2}); err != nil {
					t.Error(err)
				}
			}
			return put(ctx, engine, model, number, data)
		}
		time.Sleep(maxVerificationAge + time.Second)
		name(s, c)
		if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 2 {
			t.Errorf("version %d is offered at the end", last)
		}
	})
}

// Guards against a load of an earlier process that only the control loop saw in progress: load reports are read up
// to idleLoadInterval after the configuration has arrived.
func TestLoadSeenInProgressByControlLoopIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		e.stage(c)
		e.spoil(testChunks / 2)
		time.Sleep(maxVerificationAge + time.Second)
		if err := e.load(Order{Version: 2}); err != nil {
			t.Fatal(err)
		}
		s := stagerOf(t, e)
		name(s, c)
		s.reconcile(t.Context())
		time.Sleep(idleLoadInterval)
		if load, ok := s.load(t.Context()); !ok || load.Version() == 2 {
			t.Errorf("version %d is offered", load.Version())
		}
	})
}

// Guards against a load that a stager had found not to be sound and that the next stager, after a kill, takes as
// sound because it is finished.
func TestRestartedStagerDoesNotOfferUnexplainedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fullCopy(t, 2)
		e := newStandinEngine(c)
		e.stage(c)
		e.spoil(testChunks / 2)
		time.Sleep(maxVerificationAge + time.Second)
		killed := stagerOf(t, e)
		if _, ok := killed.load(t.Context()); !ok {
			t.Fatal("no load")
		}
		if err := e.load(Order{Version: 2}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * e.loadTime)
		if load, ok := killed.load(t.Context()); !ok || load.Version() != 0 {
			t.Fatalf("version %d is offered before the restart", load.Version())
		}
		s := stagerOf(t, e)
		name(s, c)
		if last := offersOnlyIntactLoads(t, e, s, rolloutTime); last != 2 {
			t.Errorf("version %d is offered at the end", last)
		}
	})
}
