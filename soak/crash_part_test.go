// ================================================================
// Guards against requests that share one part of their prompts, which crashes each engine that begins an
// answer on it. No two of them are alike. When gateways counted crashes for whole requests only, none
// was ever refused, and most streams beside them were lost. The real programs run here.
// The incident is described in docs/incidents/.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// contactTime is the time within which all gateways must have learned of a crash.
	contactTime = 3 * time.Second
	// crashesBeforeRefusal is the number of crashes under one part after which gateways must refuse
	// requests with it, and maxLateArrivals how many of them may still reach servers later than
	// contactTime after that.
	crashesBeforeRefusal = 5
	maxLateArrivals      = 3
	// minSoundShare is the share of sound streams that must be served at the first attempt after
	// that, relative to the share before the first crash.
	minSoundShare = 0.5
	// streamTimeout is how long callers wait, and streamTokens how long answers are.
	streamTimeout = 6 * time.Second
	streamTokens  = 60
	// documents is the number of popular parts that sound and crashing requests share.
	documents = 8
)

// partScenario describes the requests with parts that crash engines.
type partScenario struct {
	// parts are the crashing parts. With isFirst they come first in their prompts, otherwise
	// behind a part and a document that sound requests have as well.
	parts   []string
	isFirst bool
	// perSecond is the rate of requests with each part, and soundPerSecond that of each of two
	// kinds of sound streams.
	perSecond, soundPerSecond float64
	// turns says that servers run the parts for the time before, and crash on them from then on.
	turns bool
	// quiet is the time before the first of them, and duration that of the whole run.
	quiet, duration time.Duration
}

// partRun sends sound streams and requests with crashing parts, and records the results.
type partRun struct {
	partScenario
	cluster *cluster
	random  *rand.Rand
	sent    sync.WaitGroup

	mu      sync.Mutex
	results map[string][]standin.Result // by the kind of request
}

func newPartRun(cl *cluster, s partScenario, random *rand.Rand) *partRun {
	return &partRun{partScenario: s, cluster: cl, random: random, results: map[string][]standin.Result{}}
}

// runAndCheck runs the scenario once the programs know each other, and checks the results.
func (r *partRun) runAndCheck(t *testing.T) {
	r.cluster.setTolerant(r.turns)
	time.Sleep(contactTime)
	r.run(t.Context())
	r.check(t)
}

// send sends requests of one kind at a fixed rate until the context ends, whatever becomes of them.
func (r *partRun) send(ctx context.Context, kind string, perSecond float64, newRequest func(n int, random *rand.Rand) standin.Request) {
	random := rand.New(rand.NewPCG(r.random.Uint64(), 1))
	r.sent.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ctx.Err() == nil; n++ {
			request, first := newRequest(n, random), random.IntN(r.cluster.config.gateways)
			r.sent.Go(func() { r.sendOne(kind, request, first) })
			<-ticker.C
		}
	})
}

func (r *partRun) sendOne(kind string, request standin.Request, first int) {
	c := standin.Caller{Gateway: func(number int) string {
		return r.cluster.address(gatewayVMs, (first+number)%r.cluster.config.gateways, callersPort)
	}}
	result := c.Do(context.Background(), request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[kind] = append(r.results[kind], result)
}

// stream returns a stream with the given parts and one of its own.
func stream(id string, parts ...string) standin.Request {
	prompt := fmt.Sprintf("%s:200,own-%s:50", strings.Join(parts, ":200,"), id)
	return standin.Request{ID: id, Kind: standin.Stream, Prompt: minPrompt, Tokens: streamTokens, Stride: engineFigures.Stride, Timeout: streamTimeout, Parts: prompt}
}

// document returns a part that is popular, or for one request in four a part that is rare.
func document(random *rand.Rand) string {
	const rare = 400
	if random.IntN(4) == 0 {
		return fmt.Sprintf("rare-%d", random.IntN(rare))
	}
	return fmt.Sprintf("document-%d", random.IntN(documents))
}

// crashingStream returns a stream whose prompt has a crashing part.
func (s partScenario) crashingStream(part string, n int, random *rand.Rand) standin.Request {
	id := fmt.Sprintf("%s-%d-%x", part, n, random.Uint32())
	if s.isFirst {
		return stream(id, part, document(random))
	}
	return stream(id, "assistant", document(random), part)
}

// run sends all requests and returns when the last one has ended.
func (r *partRun) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.duration)
	defer cancel()
	r.send(ctx, "sound", r.soundPerSecond, func(n int, random *rand.Rand) standin.Request {
		return stream(fmt.Sprintf("sound-%d", n), "assistant", document(random))
	})
	r.send(ctx, "other", r.soundPerSecond, func(n int, random *rand.Rand) standin.Request {
		return stream(fmt.Sprintf("other-%d", n), "translator")
	})
	if r.turns {
		r.sendCrashing(ctx)
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.quiet):
	}
	r.cluster.setTolerant(false)
	if !r.turns {
		r.sendCrashing(ctx)
	}
	r.sent.Wait()
}

func (r *partRun) sendCrashing(ctx context.Context) {
	for _, part := range r.parts {
		r.send(ctx, part, r.perSecond, func(n int, random *rand.Rand) standin.Request { return r.crashingStream(part, n, random) })
	}
}

// setTolerant makes all servers run the crashing parts like others, or crash on them.
func (cl *cluster) setTolerant(tolerates bool) {
	for _, s := range cl.crashing {
		s.SetTolerant(tolerates)
	}
}

// crashesUnder returns when requests with a part began to crash servers, in order.
func (cl *cluster) crashesUnder(part string) (times []time.Time) {
	for _, s := range cl.crashing {
		for _, start := range s.CrashedBy() {
			if start.Part == part {
				times = append(times, start.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// lateArrivals counts the requests with a part that reached servers later than contactTime after
// crashesBeforeRefusal crashes.
func (cl *cluster) lateArrivals(part string) (count int) {
	crashes := cl.crashesUnder(part)
	if len(crashes) < crashesBeforeRefusal {
		return 0
	}
	limit := crashes[crashesBeforeRefusal-1].Add(contactTime)
	for _, a := range cl.runLog.Arrivals() {
		if strings.HasPrefix(a.ID, part+"-") && a.At.After(limit) {
			count++
		}
	}
	return count
}

// served counts the requests of a kind that were sent within a time, and those of them that the first
// attempt answered.
func (r *partRun) served(kind string, from, to time.Time) (atFirstAttempt, sent int) {
	for _, result := range r.results[kind] {
		if result.Sent.Before(from) || !result.Sent.Before(to) {
			continue
		}
		sent++
		if result.Complete && result.Mismatch == "" && len(result.Attempts) == 1 {
			atFirstAttempt++
		}
	}
	return atFirstAttempt, sent
}

// check checks that crashing parts are refused in time, and that sound streams are served.
func (r *partRun) check(t *testing.T) {
	cl := r.cluster
	var all []time.Time
	for _, part := range r.parts {
		crashes, late := cl.crashesUnder(part), cl.lateArrivals(part)
		all = append(all, crashes...)
		fmt.Printf("parts: %s: %d requests, %d crashes, %d late arrivals\n", part, len(r.results[part]), len(crashes), late)
		if late > maxLateArrivals {
			t.Errorf("%d requests with %s reached servers more than %s after its fifth crash; %d may", late, part, contactTime, maxLateArrivals)
		}
	}
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, time.Time.Compare)
	first, settled := all[0], all[min(len(all), crashesBeforeRefusal*len(r.parts))-1].Add(2*contactTime)
	for _, kind := range []string{"sound", "other"} {
		before, sentBefore := r.served(kind, time.Time{}, first)
		after, sentAfter := r.served(kind, settled, time.Now())
		fmt.Printf("parts: %s streams served at the first attempt: %d of %d before, %d of %d between, %d of %d after\n",
			kind, before, sentBefore, r.between(kind, first, settled), r.sentBetween(kind, first, settled), after, sentAfter)
		if float64(after)*float64(sentBefore) < minSoundShare*float64(before)*float64(sentAfter) {
			t.Errorf("%s: %d of %d streams were served at the first attempt while the part came, %d of %d before", kind, after, sentAfter, before, sentBefore)
		}
	}
	for kind, results := range r.results {
		for _, result := range results {
			if result.Mismatch != "" {
				t.Errorf("%s: %s", kind, result.Mismatch)
			}
		}
	}
}

func (r *partRun) between(kind string, from, to time.Time) int {
	served, _ := r.served(kind, from, to)
	return served
}

func (r *partRun) sentBetween(kind string, from, to time.Time) int {
	_, sent := r.served(kind, from, to)
	return sent
}

// A part in the middle of prompts, and answers without a length or chunks.
func TestPartThatCrashesEngines(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		t.Run(fmt.Sprintf("unframed answers %t", unframed), func(t *testing.T) {
			s := partScenario{parts: []string{"faulty"}, perSecond: 4, soundPerSecond: 15, quiet: 3 * time.Second, duration: 16 * time.Second}
			cl := startCluster(t, clusterConfig{
				control: 3, gateways: 3, plain: 1, plainServiceTime: plainServiceTime, crashingEngines: 9, rolloutDeadline: longDeadline,
				crashParts: s.parts, crashEvents: 1, unframed: unframed,
			}, logFolder(t))
			newPartRun(cl, s, rand.New(rand.NewPCG(seed(t), 1))).runAndCheck(t)
		})
	}
}
