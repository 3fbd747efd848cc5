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
	// streamWithin and plainWithin are how long callers wait for an answer.
	streamWithin = 6 * time.Second
	plainWithin  = 1200 * time.Millisecond
)

// keptLoad are the callers that keep their connections.
type keptLoad struct {
	world *world
	// streams and plain are how many callers each gateway has.
	streams, plain int
	// pause is the longest pause between two requests of a caller, and within how long
	// each waits; 0 is for as long as its kind usually does.
	pause, within time.Duration
	// tokens bounds the answers of streams, and prompt what they read; zero values are the
	// usual bounds.
	tokens, prompt bounds

	under sync.WaitGroup
	mu    sync.Mutex
	ended []standin.KeepAliveRequest
}

// run has callers send requests until the context ends, and waits for the last ones.
func (l *keptLoad) run(ctx context.Context, seed uint64) {
	for gateway := range l.world.size.gateways {
		for n := range l.streams + l.plain {
			draw, kind := l.drawStream, "s"
			if n >= l.streams {
				draw, kind = drawPlain, "p"
			}
			drawBounded := func(r *rand.Rand) standin.Request {
				a := draw(r)
				if l.within > 0 {
					a.Timeout = l.within
				}
				return a
			}
			c := &standin.KeepAliveCaller{
				Name:        fmt.Sprintf("%s%d.%d", kind, gateway+1, n),
				Gateway:     l.world.at(gatewayVMs, gateway, callersPort),
				NextRequest: drawBounded, MaxPause: l.pause, OnEnd: l.note,
				Rand: rand.New(rand.NewPCG(seed, uint64(gateway*1000+n))),
			}
			l.under.Go(func() { c.Run(ctx) })
		}
	}
	l.under.Wait()
}

func (l *keptLoad) note(k standin.KeepAliveRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, k)
}

// bounds are the least and the most of what is drawn.
type bounds struct{ least, most int }

func (b bounds) draw(r *rand.Rand) int { return b.least + r.IntN(b.most-b.least+1) }

func (l *keptLoad) drawStream(r *rand.Rand) standin.Request {
	prompt := cmp.Or(l.prompt, bounds{leastPrompt, mostPrompt})
	tokens := cmp.Or(l.tokens, bounds{leastTokens, mostTokens})
	return standin.Request{Kind: standin.Stream, Stride: figures.Stride, Timeout: streamWithin, Prompt: prompt.draw(r), Tokens: tokens.draw(r)}
}

func drawPlain(r *rand.Rand) standin.Request {
	a := standin.Request{Kind: standin.Safe, Timeout: plainWithin}
	if r.IntN(2) == 0 {
		a.Kind = standin.Unsafe
	}
	return a
}
