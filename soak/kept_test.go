// ================================================================
// Callers that keep their connections, and send one request after the other until they
// are told that it closes.
// ================================================================

package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// streamDeadline and plainWithin are how long callers wait for an answer.
	streamDeadline = 6 * time.Second
	plainDeadline  = 1200 * time.Millisecond
)

// keepAliveLoad are the callers that keep their connections.
type keepAliveLoad struct {
	cluster *cluster
	// streams and plain are how many callers each gateway has.
	streams, plain int
	// pause is the longest pause between two requests of a caller, and within how long
	// each waits; 0 is for as long as its kind usually does.
	pause, deadline time.Duration
	// tokens bounds the answers of streams, and prompt what they read; zero values are the
	// usual bounds.
	tokens, prompt bounds

	callers  sync.WaitGroup
	mu       sync.Mutex
	finished []standin.KeepAliveRequest
}

// run has callers send requests until the context ends, and waits for the last ones.
func (l *keepAliveLoad) run(ctx context.Context, seed uint64) {
	for gateway := range l.cluster.config.gateways {
		for n := range l.streams + l.plain {
			draw, kind := l.drawStream, "s"
			if n >= l.streams {
				draw, kind = drawPlain, "p"
			}
			drawBounded := func(r *rand.Rand) standin.Request {
				a := draw(r)
				if l.deadline > 0 {
					a.Timeout = l.deadline
				}
				return a
			}
			c := &standin.KeepAliveCaller{
				Name:        fmt.Sprintf("%s%d.%d", kind, gateway+1, n),
				Gateway:     l.cluster.address(gatewayVMs, gateway, callersPort),
				NextRequest: drawBounded, MaxPause: l.pause, OnEnd: l.record,
				Rand: rand.New(rand.NewPCG(seed, uint64(gateway*1000+n))),
			}
			l.callers.Go(func() { c.Run(ctx) })
		}
	}
	l.callers.Wait()
}

func (l *keepAliveLoad) record(k standin.KeepAliveRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, k)
}

// bounds are the least and the most of what is drawn.
type bounds struct{ low, high int }

func (b bounds) draw(r *rand.Rand) int { return b.low + r.IntN(b.high-b.low+1) }

func (l *keepAliveLoad) drawStream(r *rand.Rand) standin.Request {
	prompt := cmp.Or(l.prompt, bounds{minPrompt, maxPrompt})
	tokens := cmp.Or(l.tokens, bounds{minTokens, maxTokens})
	return standin.Request{Kind: standin.Stream, Stride: engineFigures.Stride, Timeout: streamDeadline, Prompt: prompt.draw(r), Tokens: tokens.draw(r)}
}

func drawPlain(r *rand.Rand) standin.Request {
	a := standin.Request{Kind: standin.Safe, Timeout: plainDeadline}
	if r.IntN(2) == 0 {
		a.Kind = standin.Unsafe
	}
	return a
}
