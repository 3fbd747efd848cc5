package gateway

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// streamScenarios are the simulated scenarios. Each runs with several seeds.
var streamScenarios = []struct {
	name  string
	seeds int // how many to run by default
	simScenario
}{
	{"2 gateways, slow engines", 3, simScenario{gateways: 2, engines: 3, load: 0.7, slowFactor: 3, duration: 25 * time.Second}},
	{"4 gateways, slow engines, stops", 3, simScenario{gateways: 4, engines: 5, load: 0.7, slowFactor: 4, stops: true, duration: 25 * time.Second}},
	{"4 gateways, links full of chunks", 3, simScenario{gateways: 4, engines: 5, load: 0.6, slowFactor: 3, chunkDelay: 600 * time.Millisecond, duration: 25 * time.Second}},
	{"4 gateways, stalls, stops", 3, simScenario{gateways: 4, engines: 6, load: 0.6, slowFactor: 3, stalls: true, stops: true, duration: 25 * time.Second}},
	{"149 gateways", 1, simScenario{gateways: 149, engines: 60, load: 0.6, slowFactor: 3, chunkDelay: 300 * time.Millisecond, duration: 14 * time.Second}},
}

// seedsToRun returns the seeds to run: count of them, or as many as TIDEPOST_SEEDS says, from
// TIDEPOST_SEED on.
func seedsToRun(t *testing.T, count int) (all []uint64) {
	t.Helper()
	from := uint64(1)
	if text := os.Getenv("TIDEPOST_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = n
	}
	if text := os.Getenv("TIDEPOST_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		from = n
	}
	for i := range count {
		all = append(all, from+uint64(i))
	}
	return all
}

// A deadline that a gateway set never ends a started stream, and no stream begins on an expired
// version, also with slow engines, late orders, stalls and links full of chunks.
func TestNoDeadlineOfAGatewayEndsAStream(t *testing.T) {
	eachScenario(t, func(t *testing.T, sim *streamSim, v *simResult) {
		sim.report(t, "ended by a deadline", v.byDeadline)
		sim.report(t, "started on an expired version", v.startedLate)
	})
}

// eachScenario runs each scenario with its seeds.
func eachScenario(t *testing.T, check func(t *testing.T, sim *streamSim, v *simResult)) {
	for _, s := range streamScenarios {
		t.Run(s.name, func(t *testing.T) {
			for _, seed := range seedsToRun(t, s.seeds) {
				sim, v := runStreamSim(t, seed, s.simScenario)
				check(t, sim, v)
			}
		})
	}
}

// runStreamSim runs one simulation in virtual time.
func runStreamSim(t *testing.T, seed uint64, s simScenario) (sim *streamSim, v *simResult) {
	t.Helper()
	sim = newStreamSim(t, seed, s)
	synctest.Test(t, func(*testing.T) { v = sim.run() })
	t.Logf("seed %d: sent %d, complete %d, late %d, refused %d, lost %d, ended by a deadline %d, interrupted %d, started on an expired version %d; counted by reason %v",
		seed, v.sent, v.complete, v.late, v.refused, len(v.lost), len(v.byDeadline), len(v.interrupted), len(v.startedLate), v.interruptions)
	return sim, v
}

// report fails the test for each finding of a kind.
func (s *streamSim) report(t *testing.T, kind string, findings []string) {
	t.Helper()
	for _, line := range findings {
		t.Errorf("seed %d: %s: %s\n%s", s.seed, kind, line, s.logsOf(line))
	}
}

// logsOf returns the gateways' log lines about the request of a finding.
func (s *streamSim) logsOf(finding string) string {
	id, _, _ := strings.Cut(finding, " ")
	var lines []string
	for _, m := range s.gateways {
		for _, log := range m.logs {
			for line := range strings.Lines(log.String()) {
				if strings.Contains(line, fmt.Sprintf("%q", id)) {
					lines = append(lines, line)
				}
			}
		}
	}
	return strings.Join(lines, "")
}
