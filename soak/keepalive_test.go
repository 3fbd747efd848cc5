// ================================================================
// Callers with keep-alive connections: each sends one request after the other over its
// connection until the gateway announces that it closes.
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
	// streamDeadline and plainDeadline are how long callers wait for the response to a stream and to a
	// request to a plain server.
	streamDeadline = 6 * time.Second
	plainDeadline  = 1200 * time.Millisecond
)

// keepAliveLoad is the load of callers with keep-alive connections.
type keepAliveLoad struct {
	cluster *cluster
	// streams and plain are the numbers of callers per gateway, by kind of request.
	streams, plain int
	// pause is the longest pause between two requests of a caller. deadline is how long a
	// caller waits; 0 means the default of the kind of request.
	pause, deadline time.Duration
	// tokens bounds the lengths of streams, and prompt those of their prompts, both in
	// tokens; zero values mean the default bounds.
	tokens, prompt bounds
	// drawPlain draws a request to a plain server; nil means drawPlain.
	drawPlain func(*rand.Rand) standin.Request

	callers  sync.WaitGroup
	mu       sync.Mutex
	finished []standin.KeepAliveRequest
}

// run lets callers send requests until the context ends, and waits for the last ones.
func (l *keepAliveLoad) run(ctx context.Context, seed uint64) {
	for gateway := range l.cluster.config.gateways {
		for n := range l.streams + l.plain {
			draw, kind := l.drawStream, "s"
			if n >= l.streams {
				draw, kind = drawPlain, "p"
				if l.drawPlain != nil {
					draw = l.drawPlain
				}
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

// bounds is the inclusive range of a random number.
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
