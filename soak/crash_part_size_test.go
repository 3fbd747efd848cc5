//go:build bench

// ================================================================
// The scenarios of parts of prompts that crash engines, drawn by a seed, with 6 gateways and 12 engines. The
// test is run by hand: make parts SEED=1 SEEDS=10 FAULTS=racks. A seed draws where the part stands, how
// often requests with it come, how long a server runs one until it crashes, how many events it sends before,
// how many parts there are, whether answers have a length or chunks, and whether servers ran the part
// before. FAULTS, if given, is one of:
//
//	racks     crashes all engines of a failure domain, four times
//	restarts  restarts gateways, kills control nodes, reloads and pauses programs and changes the
//	          configuration
//	nodes     kills one control node for the rest of the run
//	none      none of these; without FAULTS the seed draws one
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"
	"time"
)

// partFaults are the faults beside the crashing parts.
var partFaults = []string{"none", "racks", "restarts", "nodes"}

// drawPartScenario draws a scenario, the cluster for it and the faults beside it.
func drawPartScenario(random *rand.Rand) (s partScenario, c clusterConfig, faults string) {
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	s = partScenario{
		isFirst: random.IntN(3) == 0, turns: random.IntN(6) == 0, perSecond: pick(1, 2, 4, 10), soundPerSecond: 30,
		quiet: 6 * time.Second, duration: 26 * time.Second,
	}
	for i := range int(pick(1, 1, 1, 2, 3)) {
		s.parts = append(s.parts, fmt.Sprintf("faulty%d", i+1))
	}
	c = clusterConfig{
		control: 3, gateways: 6, plain: 1, plainServiceTime: plainServiceTime, crashingEngines: 12, rolloutDeadline: longDeadline,
		crashParts: s.parts, crashEvents: random.IntN(3), crashDelay: time.Duration(pick(1, 60, 60, 400, 1500)) * time.Millisecond,
		unframed: random.IntN(3) == 0, sameInstance: random.IntN(4) == 0,
	}
	return s, c, partFaults[random.IntN(len(partFaults))]
}

// startPartFaults starts faults beside the crashing parts; they end with the context.
func startPartFaults(ctx context.Context, r *partRun, faults string) {
	cl := r.cluster
	newRandom := func() *rand.Rand { return rand.New(rand.NewPCG(r.random.Uint64(), 2)) }
	switch faults {
	case "racks":
		random := newRandom()
		r.sent.Go(func() { failDomains(ctx, cl, random) })
	case "nodes":
		cl.programs.stop(nameOf("control", r.random.IntN(cl.config.control)), syscall.SIGKILL)
	case "restarts":
		injector := &faultInjector{cluster: cl, random: newRandom(), counts: map[string]int{}}
		gateways, nodes, pauses := newRandom(), newRandom(), newRandom()
		r.sent.Go(func() { restart(ctx, cl, "gateway", cl.config.gateways, syscall.SIGTERM, gateways) })
		r.sent.Go(func() { restart(ctx, cl, "control", cl.config.control, syscall.SIGKILL, nodes) })
		r.sent.Go(func() { pausePrograms(ctx, cl, pauses) })
		injector.reloadPrograms(ctx)
		injector.changeConfiguration(ctx)
		r.sent.Go(injector.running.Wait)
	}
}

func TestPartsAtSize(t *testing.T) {
	first := seed(t)
	for i := range uint64(envNumber(t, "TIDEPOST_SEEDS", 1)) {
		t.Run(fmt.Sprintf("seed %d", first+i), func(t *testing.T) {
			random := rand.New(rand.NewPCG(first+i, 1))
			s, c, faults := drawPartScenario(random)
			if only := os.Getenv("TIDEPOST_FAULTS"); only != "" {
				faults = only
			}
			fmt.Printf("parts: seed %d: %d parts, %g a second each, first %t, turns %t, crash after %d events and %s, unframed %t, same instance %t, faults %s, machine load %s\n",
				first+i, len(s.parts), s.perSecond, s.isFirst, s.turns, c.crashEvents, c.crashDelay, c.unframed, c.sameInstance, faults, machineLoad())
			r := newPartRun(startCluster(t, c, logFolder(t)), s, random)
			ctx, cancel := context.WithTimeout(t.Context(), contactTime+s.duration)
			defer cancel()
			time.AfterFunc(contactTime+s.quiet, func() { startPartFaults(ctx, r, faults) })
			r.runAndCheck(t)
		})
	}
}
