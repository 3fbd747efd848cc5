package staging

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// rolloutTime is the time within which the engine must serve the version.
const rolloutTime = 40 * time.Second

// Guards against weights that are loaded after one of their chunks had been corrupt for longer than
// maxVerificationAge, and against engines that are offered to gateways with such a load.
func TestEngineServesNoChunkThatWasCorruptBeforeTheLoad(t *testing.T) {
	first := func(delay time.Duration) func(uint64) time.Duration {
		return func(sequence uint64) time.Duration {
			if sequence > 0 {
				return 0
			}
			return delay
		}
	}
	always := func(delay time.Duration) func(uint64) time.Duration {
		return func(uint64) time.Duration { return delay }
	}
	for label, set := range map[string]func(*standinEngine){
		"fast":                         func(*standinEngine) {},
		"reads take 40 ms":             func(e *standinEngine) { e.readTime = 40 * time.Millisecond },
		"reads take 120 ms":            func(e *standinEngine) { e.readTime = 120 * time.Millisecond },
		"reads take 400 ms":            func(e *standinEngine) { e.readTime = 400 * time.Millisecond },
		"orders are taken after 4 s":   func(e *standinEngine) { e.orderDelay = always(4 * time.Second) },
		"the order is taken after 9 s": func(e *standinEngine) { e.orderDelay = first(9 * time.Second) },
		"slow reads and late orders": func(e *standinEngine) {
			e.readTime, e.orderDelay = 60*time.Millisecond, always(2*time.Second)
		},
		"an answer is lost": func(e *standinEngine) { e.losesAnswer = func(n uint64) bool { return n == 0 } },
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s/%d", label, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := fullCopy(t, 2)
					e := newStandinEngine(c)
					set(e)
					s := stagerOf(t, e)
					name(s, c)
					testLoads(t, e, s, 2, seed, func() {})
				})
			})
		}
	}
}

// Guards against weights that consist of the chunks of two versions: an order whose call has ended is
// taken after the chunks of the next version were staged.
func TestLateOrderDoesNotServeChunksOfNextVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second, third := fullCopy(t, 2), fullCopy(t, 3)
		e := newStandinEngine(second, third)
		e.orderDelay = func(uint64) time.Duration { return 2 * orderTimeout }
		s := stagerOf(t, e)
		name(s, second)
		testLoads(t, e, s, 3, 1, func() {
			time.Sleep(orderTimeout / 2)
			name(s, third)
		})
	})
}

// Guards against a load that an earlier process ordered and whose verification nobody knows.
func TestLoadOrderedByEarlierProcessIsReadBack(t *testing.T) {
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
		testLoads(t, e, s, 2, 1, func() {})
	})
}

// testLoads spoils chunks at random until the end of rolloutTime, and checks that each version is
// offered to gateways only while the engine holds it intact, and the last one by then.
func testLoads(t *testing.T, e *standinEngine, s *Stager, last, seed uint64, besides func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go e.spoilAtRandom(ctx, seed, 200*time.Millisecond)
	go func() { _ = s.reconcileLoop(ctx) }()
	go besides()
	startedAt := time.Now()
	var offeredAt time.Duration
	for time.Since(startedAt) < rolloutTime {
		time.Sleep(50 * time.Millisecond)
		version, intact := offered(ctx, t, e, s)
		if !intact {
			t.Logf("after %s", time.Since(startedAt))
			break
		}
		if offeredAt == 0 && version == last {
			offeredAt = time.Since(startedAt)
		}
	}
	if offeredAt == 0 {
		t.Errorf("the engine does not serve version %d", last)
	}
	t.Logf("offered after %s, %d orders, %d reads, %d writes", offeredAt, e.orders, e.reads, e.writes)
	cancel()
	// The calls that are under way end.
	time.Sleep(2 * rolloutTime)
}
