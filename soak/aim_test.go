//go:build bench

// ================================================================
// What silence costs callers: the share of the requests sent in the 4 s after all
// connections of a kind went silent that is answered in time, against that of 4 s
// before. The callers' aim is 0.85 of it when all kinds go silent at once.
//
// The 4 s before are the last of which all requests were over by then. Of the very
// last ones the silence meets some under way, which lowers what is compared with.
//
// It is measured by a clock on processes that share one machine, and so it is run
// by hand: make silence SEED=1. Runs beside other work tell less; the table says
// how much there was.
// ================================================================

package soak

import (
	"context"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// minOnTimeRatio is the least share of what was answered in time before.
	minOnTimeRatio = 0.85
	// measureWindow is what is compared before and after, and secondAfter when connections
	// go silent again where they do so twice.
	measureWindow      = 4 * time.Second
	secondSilenceDelay = 1500 * time.Millisecond
	// baselinePeriod comes before each silence: the window, and the time in which gateways
	// forget what they held against backend servers and stagers in the one before.
	baselinePeriod = 12 * time.Second
	// completionWait is until the last request of a window is over.
	completionWait = 7 * time.Second
	// callerTimeout is how long callers wait.
	callerTimeout = 6 * time.Second
	// longRolloutDeadline is the time within which new weights are to be in force.
	longRolloutDeadline = 10 * time.Second
	// startupWait is how long the programs get to find each other.
	startupWait = 5 * time.Second
)

// allKinds is what the scenarios begin with that the aim is set for.
const allKinds = "all kinds"

// rolloutLead is how long before the silence new weights are named, in the
// scenarios in which they spread: some chunks are on their way then.
const rolloutLead = 700 * time.Millisecond

// scenario is which connections go silent, and when.
type scenario struct {
	name     string
	kinds    []connectionKind
	offsets  []time.Duration
	rollsOut bool // new weights do, meanwhile
}

func scenarios() []scenario {
	once := []time.Duration{0}
	var all []scenario
	for _, r := range connectionKinds {
		all = append(all, scenario{name: r.name, kinds: []connectionKind{r}, offsets: once})
	}
	return append(all,
		scenario{name: "gateway to backend server and to stager", kinds: connectionKindsNamed("gateway to backend server", "gateway to stager"), offsets: once},
		scenario{name: "none, weights spread", offsets: once, rollsOut: true},
		scenario{name: "stager to stager, weights spread", kinds: connectionKindsNamed("stager to stager"), offsets: once, rollsOut: true},
		scenario{name: allKinds, kinds: connectionKinds, offsets: once},
		scenario{name: allKinds + ", twice", kinds: connectionKinds, offsets: []time.Duration{0, secondSilenceDelay}},
		scenario{name: allKinds + ", weights spread", kinds: connectionKinds, offsets: once, rollsOut: true})
}

// connectionKindsNamed returns the kinds with some names.
func connectionKindsNamed(names ...string) []connectionKind {
	return slices.DeleteFunc(slices.Clone(connectionKinds), func(r connectionKind) bool { return !slices.Contains(names, r.name) })
}

// silenceModes are how connections may go silent.
var silenceModes = []struct {
	name   string
	manner faultproxy.Manner
}{
	{"lost", faultproxy.Manner{}},
	{"acknowledged", faultproxy.Manner{Acknowledged: true}},
	{"lost midway", faultproxy.Manner{Midway: true}},
}

// TestSilenceCostsLittle fails where less than the aim is left when all kinds of
// connections go silent at once, or twice in a row.
func TestSilenceCostsLittle(t *testing.T) {
	for _, m := range silenceModes {
		if only := os.Getenv("TIDEPOST_SILENCE"); only != "" && only != m.name {
			continue
		}
		t.Run(m.name, func(t *testing.T) { measureSilence(t, m.manner) })
	}
}

func measureSilence(t *testing.T, m faultproxy.Manner) {
	busy := machineLoad()
	cl := startCluster(t, clusterConfig{control: 3, gateways: 3, engines: 6, plain: 3, plainServiceTime: 20 * time.Millisecond, rolloutDeadline: longRolloutDeadline}, logFolder(t))
	l := newLoad(cl, seed(t), callerTimeout)
	time.Sleep(startupWait)
	ctx, cancel := context.WithCancel(t.Context())
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		l.send(ctx, math.MaxInt)
	}()
	var rows []row
	only := os.Getenv("TIDEPOST_SILENT")
	version := uint64(standin.FirstVersion)
	for _, s := range scenarios() {
		if !strings.HasPrefix(s.name, only) {
			continue
		}
		if s.rollsOut {
			version++
		}
		rows = append(rows, s.run(cl, l, m, version))
	}
	cancel()
	<-sending
	l.inFlight.Wait()
	answers := l.finished()
	print := func(format string, arguments ...any) { fmt.Printf("silence: "+format+"\n", arguments...) }
	print("%s, seed %d, %.0f requests/s (%.0f%% of what the engines carry), machine load %s before and %s after", t.Name(), seed(t), 1/l.interval().Seconds(), 100*loadShare, busy, machineLoad())
	print("%s", tableHeader())
	for i := range rows {
		r := &rows[i]
		r.count(answers)
		for _, line := range r.lines() {
			print("%s", line)
		}
	}
	for _, r := range rows {
		if !strings.HasPrefix(r.name, allKinds) {
			continue
		}
		verdict := "held"
		if r.retained() < minOnTimeRatio {
			verdict = "broken"
			t.Errorf("%s: %.2f of what was answered in time before; the aim is %.2f", r.name, r.retained(), minOnTimeRatio)
		}
		print("%s: %s, %.2f against %.2f", r.name, verdict, r.retained(), minOnTimeRatio)
	}
	for _, b := range cl.staleStarts() {
		t.Errorf("%s began on version %d %s after a later one was acknowledged", b.ID, b.Version, b.delay)
	}
}

// staleStart is a request that began on a version after the time for the next was over.
type staleStart struct {
	standin.RunStart
	delay time.Duration
}

func (cl *cluster) staleStarts() []staleStart {
	var all []staleStart
	for _, b := range cl.ledger.Started() {
		next, named := cl.namedAt[b.Version+1]
		if after := b.At.Sub(next); named && after > cl.config.rolloutDeadline {
			all = append(all, staleStart{b, after})
		}
	}
	return all
}

// run has the connections go silent after a calm time and waits until the
// requests of the window after are over.
func (s scenario) run(cl *cluster, l *load, m faultproxy.Manner, version uint64) row {
	time.Sleep(baselinePeriod)
	if s.rollsOut {
		cl.nameVersion(cl.t.Context(), version)
		time.Sleep(rolloutLead)
	}
	r := row{name: s.name, from: time.Now()}
	for _, after := range s.offsets {
		time.Sleep(time.Until(r.from.Add(after)))
		r.silenced = append(r.silenced, cl.silence(s.kinds, m)...)
	}
	r.to = time.Now().Add(measureWindow)
	time.Sleep(time.Until(r.to.Add(completionWait)))
	if s.rollsOut {
		time.Sleep(time.Until(cl.namedAt[version].Add(cl.config.rolloutDeadline)))
	}
	return r
}

func machineLoad() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}

// ----------------------------------------------------------------
// The table

// onTimeCount counts requests and those answered in time.
type onTimeCount struct{ onTime, total int }

func (s onTimeCount) ratio() float64 { return float64(s.onTime) / float64(max(s.total, 1)) }

func (s onTimeCount) String() string {
	return fmt.Sprintf("%.2f (%d/%d)", s.ratio(), s.onTime, s.total)
}

// row is what one scenario gave.
type row struct {
	name     string
	from, to time.Time
	silenced []silencedDialer

	// before are the requests of the last window of which all were over when the
	// connections went silent, just before those of the last window at all, which
	// the silence met under way, and after those of the window after.
	before, justBefore, after   onTimeCount
	inFlight                    onTimeCount
	streamsBefore, streamsAfter onTimeCount
	plainBefore, plainAfter     onTimeCount
	failures                    failureCounts // of those after
	timeline                    []onTimeCount // by when they were sent, in steps
}

// The course is told in steps from a time before the silence on.
const (
	timelineStep  = 500 * time.Millisecond
	timelineLead  = 2 * timelineStep
	timelineSteps = 20
)

// addToTimeline counts a request in the course.
func (r *row) addToTimeline(a standin.Result) {
	if r.timeline == nil {
		r.timeline = make([]onTimeCount, timelineSteps)
	}
	at := a.Sent.Sub(r.from.Add(-timelineLead))
	if step := int(at / timelineStep); at >= 0 && step < timelineSteps {
		r.timeline[step].add(a)
	}
}

// timelineLine is the course as one line.
func (r *row) timelineLine() string {
	var steps []string
	for _, s := range r.timeline {
		steps = append(steps, fmt.Sprintf("%.2f", s.ratio()))
	}
	return fmt.Sprintf(detailFormat, fmt.Sprintf("every %.1f s, from -%.1f s", timelineStep.Seconds(), timelineLead.Seconds()), strings.Join(steps, " "))
}

// maxAnswerTime is longer than the longest answer takes at a busy engine.
const maxAnswerTime = 2 * time.Second

// count counts the requests by when they were sent.
func (r *row) count(answers []standin.Result) {
	within := func(a standin.Result, from, to time.Time) bool { return !a.Sent.Before(from) && a.Sent.Before(to) }
	over := r.from.Add(-maxAnswerTime)
	for _, a := range answers {
		if within(a, over.Add(-measureWindow), over) {
			r.before.add(a)
			countOfKind(a, &r.streamsBefore, &r.plainBefore).add(a)
		}
		if within(a, r.from.Add(-measureWindow), r.from) {
			r.justBefore.add(a)
		}
		if within(a, over, r.from) && a.Sent.Add(a.Duration).After(r.from) {
			r.inFlight.add(a)
		}
		if within(a, r.from, r.to) {
			r.after.add(a)
			countOfKind(a, &r.streamsAfter, &r.plainAfter).add(a)
			r.failures.add(a)
		}
		r.addToTimeline(a)
	}
}

func countOfKind(a standin.Result, streams, plain *onTimeCount) *onTimeCount {
	if a.Request.Kind == standin.Stream {
		return streams
	}
	return plain
}

func (s *onTimeCount) add(a standin.Result) {
	s.total++
	if a.InTime() {
		s.onTime++
	}
}

// failureCounts counts the requests that were not answered in time, by why.
type failureCounts struct{ refused, late, paused, lost int }

func (l *failureCounts) add(a standin.Result) {
	switch {
	case a.InTime():
	case !a.Complete:
		l.lost++
	case slices.ContainsFunc(a.Attempts, func(t standin.Attempt) bool { return t.RefusalStatus != 0 }):
		l.refused++
	case a.FirstEvent > standin.ResponseObjective:
		l.late++
	default:
		l.paused++
	}
}

func (l failureCounts) String() string {
	return fmt.Sprintf("%d, %d, %d, %d", l.refused, l.late, l.paused, l.lost)
}

// retained is the share answered in time after over that before.
func (r *row) retained() float64 { return r.after.relativeTo(r.before) }

func (s onTimeCount) relativeTo(other onTimeCount) float64 {
	return s.ratio() / max(other.ratio(), math.SmallestNonzeroFloat64)
}

// silencedKinds are the kinds of connections that went silent.
func (r *row) silencedKinds() []string {
	var kinds []string
	for _, s := range r.silenced {
		if !slices.Contains(kinds, s.kind) {
			kinds = append(kinds, s.kind)
		}
	}
	return kinds
}

const (
	rowFormat    = "%-40s | %14s | %14s | %5s | %10s | %12s | %12s | %13s | %18s | %s"
	detailFormat = "    %-26s | %s"
)

// tableHeader names the columns. The second ratio is against the requests of the window
// just before, of which the silence met some under way.
func tableHeader() string {
	return fmt.Sprintf(rowFormat, "connections", "before", "after", "ratio", "just before", "streams", "plain", "under way",
		"refused,late,paused,lost", "silent | replaced after s: median, longest, not within the time")
}

// lines are the line of the row and, where several kinds went silent, one for the
// replacement of each.
func (r *row) lines() []string {
	twoShares := func(a, b onTimeCount) string { return fmt.Sprintf("%.2f to %.2f", a.ratio(), b.ratio()) }
	lines := []string{fmt.Sprintf(rowFormat, r.name, r.before, r.after, fmt.Sprintf("%.2f", r.retained()),
		fmt.Sprintf("%.2f: %.2f", r.justBefore.ratio(), r.after.relativeTo(r.justBefore)),
		twoShares(r.streamsBefore, r.streamsAfter), twoShares(r.plainBefore, r.plainAfter), r.inFlight, r.failures, r.reconnects(r.silenced))}
	lines = append(lines, r.timelineLine())
	kinds := r.silencedKinds()
	if len(kinds) < 2 {
		return lines
	}
	for _, kind := range kinds {
		of := slices.DeleteFunc(slices.Clone(r.silenced), func(s silencedDialer) bool { return s.kind != kind })
		lines = append(lines, fmt.Sprintf(detailFormat, kind, r.reconnects(of)))
	}
	return lines
}

// reconnects tells how many connections went silent and how long it took until
// their dialers came with new ones. Not all do: who follows a control node goes to
// another one.
func (r *row) reconnects(all []silencedDialer) string {
	count, waiting := 0, 0
	var took []time.Duration
	for _, s := range all {
		count += s.count
		if d, ok := s.reconnectTime(r.to.Add(completionWait)); ok {
			took = append(took, d)
		} else {
			waiting++
		}
	}
	if len(took) == 0 {
		return fmt.Sprintf("%6d | -, -, %d", count, waiting)
	}
	slices.Sort(took)
	return fmt.Sprintf("%6d | %.2f, %.2f, %d of %d", count, took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), waiting, len(all))
}

// reconnectTime returns how long it took until the dialer came with a new connection;
// false where it had not by some time.
func (s silencedDialer) reconnectTime(by time.Time) (time.Duration, bool) {
	for _, o := range s.proxy.Openings() {
		if o.Label == s.label && o.At.After(s.at) && o.At.Before(by) {
			return o.At.Sub(s.at), true
		}
	}
	return 0, false
}
