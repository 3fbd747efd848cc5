//go:build bench

// ================================================================
// Whether requests over kept connections are lost while the programs are rolled,
// reloaded and reconfigured in series that overlap. By hand: make lost SEED=1
// SECONDS=60 LOAD=1.1.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// series are things done to the programs, one after the other each, drawn by a seed.
type series struct {
	world  *world
	random *rand.Rand
	under  sync.WaitGroup

	mu    sync.Mutex
	stops []span
	done  map[string]int
}

// loop does something again and again until the context ends, with pauses drawn up to
// twice a mean.
func (s *series) loop(ctx context.Context, name string, mean time.Duration, do func(r *rand.Rand)) {
	r := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
	s.under.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(2 * r.Float64() * float64(mean))):
			}
			do(r)
			s.mu.Lock()
			s.done[name]++
			s.mu.Unlock()
		}
	})
}

// rollGateway stops a gateway in order and starts it again.
func (s *series) rollGateway(r *rand.Rand, i int) {
	name := nameOf("gateway", i)
	one := span{gateway: s.world.at(gatewayVMs, i, callersPort), from: time.Now()}
	s.world.programs.stop(name, syscall.SIGTERM)
	one.to = time.Now()
	s.mu.Lock()
	s.stops = append(s.stops, one)
	s.mu.Unlock()
	time.Sleep(time.Duration(r.Float64() * float64(time.Second)))
	s.world.programs.again(name)
}

func number(t *testing.T, variable string, standard float64) float64 {
	text := os.Getenv(variable)
	if text == "" {
		return standard
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func does(what string) bool {
	only := os.Getenv("TIDEPOST_SERIES")
	return only == "" || strings.Contains(only, what)
}

func TestNothingIsLost(t *testing.T) {
	seconds := number(t, "TIDEPOST_SECONDS", 60)
	load := number(t, "TIDEPOST_LOAD", 1)
	gateways := int(number(t, "TIDEPOST_GATEWAYS", 3))
	engines := int(number(t, "TIDEPOST_ENGINES", 6))
	w := startWorld(t, size{control: 3, gateways: gateways, engines: engines, plain: 3, plainTakes: 20 * time.Millisecond, within: rollWithin, notice: 3 * time.Second}, logFolder(t))
	time.Sleep(worldIsUp)
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(seconds*float64(time.Second)))
	defer cancel()
	l := &keptLoad{world: w, streams: int(load*float64(engines*figures.Slots)/float64(gateways) + 0.5), plain: 8, pause: 200 * time.Millisecond}
	s := &series{world: w, random: rand.New(rand.NewPCG(seed(t), 1)), done: map[string]int{}}
	if does("roll") {
		for i := range gateways {
			s.loop(ctx, "roll", 8*time.Second, func(r *rand.Rand) { s.rollGateway(r, i) })
		}
	}
	if does("hup") {
		s.loop(ctx, "hup", 400*time.Millisecond, func(r *rand.Rand) {
			kinds := []struct {
				name string
				n    int
			}{{"gateway", gateways}, {"control", 3}, {"stager", engines}}
			k := kinds[r.IntN(len(kinds))]
			// One that is being stopped may be gone.
			_ = w.programs.named(nameOf(k.name, r.IntN(k.n))).cmd.Process.Signal(syscall.SIGHUP)
		})
	}
	if does("change") {
		next := uint64(1)
		s.loop(ctx, "change", time.Second, func(r *rand.Rand) {
			next++
			if err := w.operator.Reconfigure(context.WithoutCancel(ctx), figures, standin.Change{Number: next, More: r.IntN(1400)}); err != nil {
				t.Error(err)
			}
		})
	}
	if does("version") {
		version := uint64(standin.FirstVersion)
		s.loop(ctx, "version", 8*time.Second, func(*rand.Rand) {
			version++
			w.name(context.WithoutCancel(ctx), version)
		})
	}
	if does("kill") {
		s.loop(ctx, "kill control", 8*time.Second, func(r *rand.Rand) {
			name := nameOf("control", r.IntN(3))
			w.programs.stop(name, syscall.SIGKILL)
			time.Sleep(time.Duration(r.Float64() * float64(time.Second)))
			w.programs.again(name)
		})
		s.loop(ctx, "kill stager", 4*time.Second, func(r *rand.Rand) {
			name := nameOf("stager", r.IntN(engines))
			w.programs.stop(name, syscall.SIGKILL)
			time.Sleep(time.Duration(r.Float64() * float64(time.Second)))
			w.programs.again(name)
		})
	}
	busy := int(number(t, "TIDEPOST_BUSY", 0))
	for range busy {
		go func() {
			for ctx.Err() == nil {
			}
		}()
	}
	l.run(ctx, seed(t))
	s.under.Wait()
	v := w.judge(l.ended, s.stops)
	print := func(format string, arguments ...any) { fmt.Printf("lost: "+format+"\n", arguments...) }
	print("seed %d, %.0f s, load %.2f, machine load %s; done %v; ends %v; unanswered alone %d, cut by plan %d, wrong %d",
		seed(t), seconds, load, machineLoad(), s.done, v.ends, v.leftAlone(), v.cutByPlan(), len(v.wrong))
	for _, c := range v.cuts {
		print("%s", c.line())
	}
	if n := v.leftAlone(); n > mostUnanswered {
		t.Errorf("%d requests over kept connections ended without an answer; %d may", n, mostUnanswered)
	}
	if n := v.cutByPlan(); n > 0 {
		t.Errorf("planned stops cut %d requests that they may not", n)
	}
	for _, k := range v.wrong {
		t.Errorf("%s: %s", k.ID, k.Why)
	}
}
