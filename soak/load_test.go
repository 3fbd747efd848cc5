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
	// plainShare of the requests goes to plain servers, half of them unsafe.
	plainShare = 0.3
	// minTokens and mostTokens bound an answer; the mean is the engines' usual one.
	minTokens, maxTokens = 40, 120
	minPrompt, maxPrompt = 400, 1200
)

// load sends requests and keeps what became of them.
type load struct {
	cluster   *cluster
	random    *rand.Rand
	keepAlive []*http.Client // by gateway
	within    time.Duration  // how long a caller waits; 0 is for as long as it takes

	inFlight sync.WaitGroup
	mu       sync.Mutex
	drawn    int
	answers  []standin.Result
}

func newLoad(cl *cluster, seed uint64, within time.Duration) *load {
	l := &load{cluster: cl, random: rand.New(rand.NewPCG(seed, seed)), within: within}
	for range cl.config.gateways {
		l.keepAlive = append(l.keepAlive, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}})
	}
	return l
}

// interval is the time between two requests.
func (l *load) interval() time.Duration {
	streams := loadShare * float64(l.cluster.config.engines) / engineFigures.MeanSlotInterval().Seconds()
	return time.Duration(float64(time.Second) * (1 - plainShare) / streams)
}

// draw draws the next request and the gateway of its first try.
func (l *load) draw() (a standin.Request, gateway int, kept bool) {
	a = standin.Request{
		ID: fmt.Sprintf("r%d", l.drawn), Kind: standin.Stream, Stride: engineFigures.Stride, Timeout: l.within,
		Prompt: minPrompt + l.random.IntN(maxPrompt-minPrompt+1),
		Tokens: minTokens + l.random.IntN(maxTokens-minTokens+1),
	}
	if l.random.Float64() < plainShare {
		a.Kind = standin.Safe
		if l.random.IntN(2) == 0 {
			a.Kind = standin.Unsafe
		}
	}
	l.drawn++
	return a, l.random.IntN(l.cluster.config.gateways), l.random.IntN(2) == 0
}

// sendOne sends one request beside what else happens.
func (l *load) sendOne(ctx context.Context) {
	a, gateway, kept := l.draw()
	l.start(ctx, a, gateway, kept)
}

// sendUnsafe sends some requests that may run once, and returns when each of them runs
// at a server or is over: one that goes out on a silent connection never runs.
func (l *load) sendUnsafe(ctx context.Context, count int) {
	const look = time.Millisecond
	over := map[string]<-chan struct{}{}
	for range count {
		a, gateway, kept := l.draw()
		a.Kind = standin.Unsafe
		over[standin.FirstAttemptID(a.ID)] = l.start(ctx, a, gateway, kept)
	}
	for id, ended := range over {
		for l.cluster.ledger.Runs(id) == 0 && !isClosed(ended) {
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

// start sends a request, and returns what is closed when it is over.
func (l *load) start(ctx context.Context, a standin.Request, gateway int, kept bool) <-chan struct{} {
	over := make(chan struct{})
	c := standin.Caller{Gateway: func(try int) string {
		return l.cluster.address(gatewayVMs, (gateway+try)%l.cluster.config.gateways, callersPort)
	}}
	if kept {
		c.KeepAliveClient = l.keepAlive[gateway]
	}
	l.inFlight.Go(func() {
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
	ticker := time.NewTicker(l.interval())
	defer ticker.Stop()
	for sent := 0; sent < count && ctx.Err() == nil; sent++ {
		l.sendOne(context.WithoutCancel(ctx))
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// finished returns what became of the requests that are over.
func (l *load) finished() []standin.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]standin.Result(nil), l.answers...)
}
