//go:build bench

// ================================================================
// What a request that ends servers costs, and whether it is stopped, at 6 gateways and 12
// servers: it comes at a random gateway four times a second, beside repeatable requests,
// some that run once and one that everybody asks. By hand: make ends SEED=1.
//
//	KIND is safe or unsafe, SAME=1 has servers start again under their instance,
//	RACKS=1 fails a rack of servers four times, RESTARTS=1 restarts gateways, kills
//	control nodes, has programs reload and stand still and changes the configuration,
//	ENDING=0 leaves the request out
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// endsSeconds is how long a run takes; TIDEPOST_SECONDS changes it.
	endsSeconds = 24
	// inTouch is within what time all machines hear of an end.
	inTouch = 3 * time.Second
	// mostLater is how often the request may reach servers later than that after the third.
	mostLater = 3
	// leastServed of the other repeatable work is to be served.
	leastServed = 0.97

	endingPerSecond  = 4
	safePerSecond    = 125
	oncePerSecond    = 25
	popularPerSecond = 50
)

// openLoad sends requests at even distances whatever becomes of the ones before.
type openLoad struct {
	world *world
	under sync.WaitGroup

	mu    sync.Mutex
	sent  map[string]int
	whole map[string]int
}

// send sends requests of a name at a rate until the context ends.
func (l *openLoad) send(ctx context.Context, name string, perSecond float64, a standin.Request, random *rand.Rand) {
	l.under.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			one, first := a, random.IntN(l.world.size.gateways)
			one.ID = fmt.Sprintf("%s-%d", name, n)
			l.under.Go(func() { l.ask(name, one, first) })
			<-ticker.C
		}
	})
}

func (l *openLoad) ask(name string, a standin.Request, first int) {
	c := standin.Caller{Gateway: func(try int) string {
		return l.world.at(gatewayVMs, (first+try)%l.world.size.gateways, callersPort)
	}}
	do := c.Do
	if name == "ending" {
		do = func(ctx context.Context, a standin.Request) standin.Result { return c.DoOnce(ctx, a, 0) }
	}
	answer := do(context.Background(), a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[name]++
	if answer.Complete && answer.Mismatch == "" {
		l.whole[name]++
	}
}

func TestEndsAtSize(t *testing.T) {
	w := startWorld(t, size{
		control: 3, gateways: 6, ending: 12, plainTakes: 20 * time.Millisecond, within: rollWithin,
		sameInstance: os.Getenv("TIDEPOST_SAME") == "1",
	}, logFolder(t))
	time.Sleep(worldIsUp)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(number(t, "TIDEPOST_SECONDS", endsSeconds)*float64(time.Second)))
	defer cancel()
	l := &openLoad{world: w, sent: map[string]int{}, whole: map[string]int{}}
	random := rand.New(rand.NewPCG(seed(t), 1))
	draws := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), 1)) }
	const within = 6 * time.Second
	l.send(ctx, "safe", safePerSecond, standin.Request{Kind: standin.Safe, Timeout: within}, draws())
	l.send(ctx, "once", oncePerSecond, standin.Request{Kind: standin.Unsafe, Timeout: within}, draws())
	l.send(ctx, "popular", popularPerSecond, standin.Request{Kind: standin.Safe, Timeout: within, Body: popularBody}, draws())
	s := &series{world: w, random: draws(), done: map[string]int{}}
	kind := standin.Safe
	if os.Getenv("TIDEPOST_KIND") == string(standin.Unsafe) {
		kind = standin.Unsafe
	}
	if os.Getenv("TIDEPOST_ENDING") != "0" {
		l.send(ctx, "ending", endingPerSecond, standin.Request{Kind: kind, Timeout: within, Body: endingBody}, draws())
	}
	if os.Getenv("TIDEPOST_RACKS") == "1" {
		l.under.Go(func() { failRacks(ctx, w, draws()) })
	}
	if os.Getenv("TIDEPOST_RESTARTS") == "1" {
		l.under.Go(func() { restart(ctx, w, "gateway", w.size.gateways, syscall.SIGTERM, draws()) })
		l.under.Go(func() { restart(ctx, w, "control", w.size.control, syscall.SIGKILL, draws()) })
		l.under.Go(func() { pausePrograms(ctx, w, draws()) })
		s.hangUp(ctx)
		s.change(ctx)
	}
	l.under.Wait()
	s.under.Wait()
	l.judge(t, kind)
}

// failRacks ends all servers of one failure domain after the other.
func failRacks(ctx context.Context, w *world, random *rand.Rand) {
	const pause = 5 * time.Second
	for rest := range 4 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		w.failRack((random.IntN(zones) + rest) % zones)
	}
}

// restart ends programs of a kind by a signal, one after the other, and starts them again.
func restart(ctx context.Context, w *world, kind string, count int, by syscall.Signal, random *rand.Rand) {
	const pause = 2 * time.Second
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		name := nameOf(kind, random.IntN(count))
		w.programs.stop(name, by)
		w.programs.again(name)
	}
}

// pausePrograms has any program stand still for a while, one after the other. One that is
// being restarted may be gone.
func pausePrograms(ctx context.Context, w *world, random *rand.Rand) {
	const pause, mostStill = 500 * time.Millisecond, 800 * time.Millisecond
	for ctx.Err() == nil {
		names := w.programs.names()
		process := w.programs.named(names[random.IntN(len(names))]).cmd.Process
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Float64() * float64(mostStill)))
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(pause)
	}
}

// judge prints what was served and checks how often the request reached servers.
func (l *openLoad) judge(t *testing.T, kind standin.Kind) {
	var ends []time.Time
	for _, s := range l.world.ending {
		for _, b := range s.CrashedBy() {
			ends = append(ends, b.At)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	later := 0
	for i, at := range ends {
		if i >= 3 && at.Sub(ends[2]) > inTouch {
			later++
		}
	}
	fmt.Printf("ends: seed %d, kind %s, machine load %s; came %d, servers ended %d, of them late %d; safe %d of %d, once %d of %d, popular %d of %d\n",
		seed(t), kind, machineLoad(), l.sent["ending"], len(ends), later,
		l.whole["safe"], l.sent["safe"], l.whole["once"], l.sent["once"], l.whole["popular"], l.sent["popular"])
	if later > mostLater {
		t.Errorf("it reached servers %d times later than %s after the third end; %d may", later, inTouch, mostLater)
	}
	for _, name := range []string{"safe", "popular"} {
		if float64(l.whole[name]) < leastServed*float64(l.sent[name]) {
			t.Errorf("%s: %d of %d served whole", name, l.whole[name], l.sent[name])
		}
	}
}
