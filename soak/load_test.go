// ================================================================
// The load: callers' requests drawn by a seed, sent at even distances whatever
// becomes of the ones before.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// loadShare of what the engines carry is asked of them.
	loadShare = 0.7
	// plainPart of the requests goes to plain servers, half of them unsafe.
	plainPart = 0.3
	// leastTokens and mostTokens bound an answer; the mean is the engines' usual one.
	leastTokens, mostTokens = 40, 120
	leastPrompt, mostPrompt = 400, 1200
)

// load sends requests and keeps what became of them.
type load struct {
	world  *world
	random *rand.Rand
	kept   []*http.Client // by gateway
	within time.Duration  // how long a caller waits; 0 is for as long as it takes

	under   sync.WaitGroup
	mu      sync.Mutex
	asked   int
	answers []standin.Result
}

func newLoad(w *world, seed uint64, within time.Duration) *load {
	l := &load{world: w, random: rand.New(rand.NewPCG(seed, seed)), within: within}
	for range w.size.gateways {
		l.kept = append(l.kept, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}})
	}
	return l
}

// every is the time between two requests.
func (l *load) every() time.Duration {
	streams := loadShare * float64(l.world.size.engines) / figures.MeanSlotInterval().Seconds()
	return time.Duration(float64(time.Second) * (1 - plainPart) / streams)
}

// draw draws the next request and the gateway of its first try.
func (l *load) draw() (a standin.Request, gateway int, kept bool) {
	a = standin.Request{
		ID: fmt.Sprintf("r%d", l.asked), Kind: standin.Stream, Stride: figures.Stride, Timeout: l.within,
		Prompt: leastPrompt + l.random.IntN(mostPrompt-leastPrompt+1),
		Tokens: leastTokens + l.random.IntN(mostTokens-leastTokens+1),
	}
	if l.random.Float64() < plainPart {
		a.Kind = standin.Safe
		if l.random.IntN(2) == 0 {
			a.Kind = standin.Unsafe
		}
	}
	l.asked++
	return a, l.random.IntN(l.world.size.gateways), l.random.IntN(2) == 0
}

// ask sends one request beside what else happens.
func (l *load) ask(ctx context.Context) {
	a, gateway, kept := l.draw()
	l.begin(ctx, a, gateway, kept)
}

// askOnce sends some requests that may run once, and returns when each of them runs
// at a server or is over: one that goes out on a silent connection never runs.
func (l *load) askOnce(ctx context.Context, count int) {
	const look = time.Millisecond
	over := map[string]<-chan struct{}{}
	for range count {
		a, gateway, kept := l.draw()
		a.Kind = standin.Unsafe
		over[standin.FirstAttemptID(a.ID)] = l.begin(ctx, a, gateway, kept)
	}
	for id, ended := range over {
		for l.world.ledger.Runs(id) == 0 && !isClosed(ended) {
			time.Sleep(look)
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// begin sends a request, and returns what is closed when it is over.
func (l *load) begin(ctx context.Context, a standin.Request, gateway int, kept bool) <-chan struct{} {
	over := make(chan struct{})
	c := standin.Caller{Gateway: func(try int) string {
		return l.world.at(gatewayVMs, (gateway+try)%l.world.size.gateways, callersPort)
	}}
	if kept {
		c.KeepAliveClient = l.kept[gateway]
	}
	l.under.Go(func() {
		defer close(over)
		answer := c.Do(ctx, a)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.answers = append(l.answers, answer)
	})
	return over
}

// send sends requests, so many or until the context ends.
func (l *load) send(ctx context.Context, count int) {
	ticker := time.NewTicker(l.every())
	defer ticker.Stop()
	for sent := 0; sent < count && ctx.Err() == nil; sent++ {
		l.ask(context.WithoutCancel(ctx))
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// all returns what became of the requests that are over.
func (l *load) all() []standin.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]standin.Result(nil), l.answers...)
}
