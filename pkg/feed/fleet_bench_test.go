//go:build bench

// ================================================================
// What the feed of a whole fleet costs at several sizes, in virtual time: make bench-fleet. Each size has 44
// engines and 54 gateways in 100 processes, and a control node for each 40.
// ================================================================

package feed

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/bubble"
	"github.com/tidepost/tidepost/pkg/registry"
)

const (
	benchSettling = 20 * time.Second
	benchSpan     = 10 * time.Second
	// spreadTimeout is how long a registration may take to reach all gateways.
	spreadTimeout = 5 * time.Second
)

// fleetFigures are the figures of one size. Rates are in kB a second.
type fleetFigures struct {
	processes                          int
	nodeMean, nodeBusiest              float64
	gateway, stager                    float64
	betweenDomains                     float64
	streamsMean, streamsBusiest        float64
	spreadMedian, spread99, spreadLast time.Duration
	processorPerSecond                 float64 // seconds of the whole simulation in a second
}

// TestFleetCosts prints the figures of each size, and how they grow.
func TestFleetCosts(t *testing.T) {
	sizes := []int{250, 500, 1000, 2000}
	if text := os.Getenv("TIDEPOST_SIZES"); text != "" {
		sizes = nil
		for _, word := range strings.Fields(text) {
			n, err := strconv.Atoi(word)
			if err != nil {
				t.Fatal(err)
			}
			sizes = append(sizes, n)
		}
	}
	var all []fleetFigures
	for _, n := range sizes {
		bubble.Run(t, func(t *testing.T) { all = append(all, measureFleet(t, n)) })
		all[len(all)-1].print()
	}
	printSlopes(all)
}

func measureFleet(t *testing.T, processes int) fleetFigures {
	size := fleetSize{domains: 5, nodes: max(processes/40, 5), gateways: processes * 54 / 100, engines: processes * 44 / 100}
	f := startFleet(t, size)
	defer f.stop()
	time.Sleep(benchSettling)
	before := processorTime()
	traffic := f.trafficDuring(benchSpan)
	figures := fleetFigures{processes: processes, processorPerSecond: (processorTime() - before).Seconds() / benchSpan.Seconds()}
	perSecond := func(bytes int64) float64 { return float64(bytes) / 1000 / benchSpan.Seconds() }
	for _, n := range f.nodes {
		rate := perSecond(traffic.byProcess[n.identity.Address()])
		figures.nodeMean += rate / float64(len(f.nodes))
		figures.nodeBusiest = max(figures.nodeBusiest, rate)
	}
	for _, g := range f.gateways {
		figures.gateway += perSecond(traffic.byProcess[g.Hello.self.Address()]) / float64(len(f.gateways))
	}
	for _, s := range f.stagers {
		figures.stager += perSecond(traffic.byProcess[s.Hello.self.Address()]) / float64(len(f.stagers))
	}
	figures.betweenDomains = perSecond(traffic.betweenDomains)
	for _, n := range f.streamsPerNode() {
		figures.streamsMean += float64(n) / float64(len(f.nodes))
		figures.streamsBusiest = max(figures.streamsBusiest, float64(n))
	}
	figures.spreadMedian, figures.spread99, figures.spreadLast = f.measureSpread()
	return figures
}

// trafficDuring returns the bytes that are sent in a span of time.
func (f *fleetSim) trafficDuring(span time.Duration) simTraffic {
	f.mu.Lock()
	f.traffic = simTraffic{byProcess: map[string]int64{}}
	f.mu.Unlock()
	time.Sleep(span)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.traffic
}

// measureSpread returns the times until a departure is known to half, to 99 in 100 and to all gateways.
func (f *fleetSim) measureSpread() (median, p99, last time.Duration) {
	n := f.nodes[len(f.nodes)-1]
	r, _ := n.table.MarkGone("e-0")
	started := time.Now()
	n.publisher.QueueRegistrations(r)
	times := make([]time.Duration, 0, len(f.gateways))
	for len(times) < len(f.gateways) && time.Since(started) < spreadTimeout {
		time.Sleep(5 * time.Millisecond)
		known := 0
		for _, g := range f.gateways {
			g.mu.Lock()
			if g.known["e-0"].State() == registry.Gone {
				known++
			}
			g.mu.Unlock()
		}
		for len(times) < known {
			times = append(times, time.Since(started))
		}
	}
	for len(times) < len(f.gateways) {
		times = append(times, time.Duration(math.MaxInt64))
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (f fleetFigures) print() {
	fmt.Printf("fleet %4d: control node kB/s mean %.0f, busiest %.0f (%.2f); streams mean %.0f, busiest %.0f; gateway %.1f kB/s, stager %.1f kB/s; between domains %.0f kB/s; departure known to half %s, 99 in 100 %s, all %s; processor %.2f s a second\n",
		f.processes, f.nodeMean, f.nodeBusiest, f.nodeBusiest/f.nodeMean, f.streamsMean, f.streamsBusiest, f.gateway, f.stager, f.betweenDomains,
		f.spreadMedian, f.spread99, f.spreadLast, f.processorPerSecond)
}

// printSlopes prints the powers of the size with which figures grow from the smallest to the largest size.
func printSlopes(all []fleetFigures) {
	if len(all) < 2 {
		return
	}
	first, last := all[0], all[len(all)-1]
	power := func(figure func(fleetFigures) float64) float64 {
		return math.Log(figure(last)/figure(first)) / math.Log(float64(last.processes)/float64(first.processes))
	}
	fmt.Printf("fleet powers of the size: busiest control node %.2f, gateway %.2f, stager %.2f, between domains %.2f, processor of all %.2f\n",
		power(func(f fleetFigures) float64 { return f.nodeBusiest }), power(func(f fleetFigures) float64 { return f.gateway }),
		power(func(f fleetFigures) float64 { return f.stager }), power(func(f fleetFigures) float64 { return f.betweenDomains }),
		power(func(f fleetFigures) float64 { return f.processorPerSecond }))
}
