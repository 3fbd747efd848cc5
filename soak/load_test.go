// ================================================================
// An open-loop load of callers' requests that are drawn by a seed and sent at a fixed rate,
// whatever the outcome of earlier ones.
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
	// loadShare is the share of the engines' capacity that the load uses.
	loadShare = 0.7
	// plainShare is the share of requests to plain servers; half of these are unsafe.
	plainShare = 0.3
	// minTokens and maxTokens bound the length of a response; their mean is
	// engineFigures.UsualAnswer. minPrompt and maxPrompt bound the length of a prompt.
	minTokens, maxTokens = 40, 120
	minPrompt, maxPrompt = 400, 1200
)

// load sends requests and records their outcomes.
type load struct {
	cluster   *cluster
	random    *rand.Rand
	keepAlive []*http.Client // by gateway, for keep-alive connections
	within    time.Duration  // how long a caller waits; 0 means without limit

	inFlight sync.WaitGroup
	mu       sync.Mutex
	drawn    int
	results  []standin.Result
}

func newLoad(cl *cluster, seed uint64, within time.Duration) *load {
	l := &load{cluster: cl, random: rand.New(rand.NewPCG(seed, seed)), within: within}
	for range cl.config.gateways {
		l.keepAlive = append(l.keepAlive, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}})
	}
	return l
}

// interval returns the time between two requests.
func (l *load) interval() time.Duration {
	streams := loadShare * float64(l.cluster.config.engines) / engineFigures.SlotInterval().Seconds()
	return time.Duration(float64(time.Second) * (1 - plainShare) / streams)
}

// draw draws the next request, the gateway of its first attempt and whether the request goes
// over a keep-alive connection.
func (l *load) draw() (a standin.Request, gateway int, keepAlive bool) {
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

// sendOne sends one request without waiting for its end.
func (l *load) sendOne(ctx context.Context) {
	a, gateway, keepAlive := l.draw()
	l.start(ctx, a, gateway, keepAlive)
}

// sendUnsafe sends some requests that must run at most once, and returns when each of them
// runs at a server or has ended: one that is sent over a silent connection never runs.
func (l *load) sendUnsafe(ctx context.Context, count int) {
	const pollInterval = time.Millisecond
	running := map[string]<-chan struct{}{}
	for range count {
		a, gateway, keepAlive := l.draw()
		a.Kind = standin.Unsafe
		running[standin.FirstAttemptID(a.ID)] = l.start(ctx, a, gateway, keepAlive)
	}
	for id, done := range running {
		for l.cluster.runLog.Runs(id) == 0 && !isClosed(done) {
			time.Sleep(pollInterval)
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

// start sends a request, and returns a channel that is closed when it has ended.
func (l *load) start(ctx context.Context, a standin.Request, gateway int, keepAlive bool) <-chan struct{} {
	done := make(chan struct{})
	c := standin.Caller{Gateway: func(number int) string {
		return l.cluster.address(gatewayVMs, (gateway+number)%l.cluster.config.gateways, callersPort)
	}}
	if keepAlive {
		c.KeepAliveClient = l.keepAlive[gateway]
	}
	l.inFlight.Go(func() {
		defer close(done)
		result := c.Do(ctx, a)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = append(l.results, result)
	})
	return done
}

// send sends up to count requests, or until the context ends.
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

// finished returns the outcomes of the requests that have ended.
func (l *load) finished() []standin.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]standin.Result(nil), l.results...)
}
