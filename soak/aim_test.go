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
	// aim is the least share of what was answered in time before.
	aim = 0.85
	// window is what is compared before and after, and secondAfter when connections
	// go silent again where they do so twice.
	window      = 4 * time.Second
	secondAfter = 1500 * time.Millisecond
	// calm comes before each silence: the window, and the time in which gateways
	// forget what they held against backend servers and stagers in the one before.
	calm = 12 * time.Second
	// settle is until the last request of a window is over.
	settle = 7 * time.Second
	// patience is how long callers wait.
	patience = 6 * time.Second
	// rollWithin is the time within which new weights are to be in force.
	rollWithin = 10 * time.Second
	// worldIsUp is how long the programs get to find each other.
	worldIsUp = 5 * time.Second
)

// allKinds is what the scenarios begin with that the aim is set for.
const allKinds = "all kinds"

// spreadBefore is how long before the silence new weights are named, in the
// scenarios in which they spread: some chunks are on their way then.
const spreadBefore = 700 * time.Millisecond

// scenario is which connections go silent, and when.
type scenario struct {
	name    string
	roles   []role
	at      []time.Duration
	spreads bool // new weights do, meanwhile
}

func scenarios() []scenario {
	once := []time.Duration{0}
	var all []scenario
	for _, r := range roles {
		all = append(all, scenario{name: r.name, roles: []role{r}, at: once})
	}
	return append(all,
		scenario{name: "gateway to backend server and to stager", roles: rolesOf("gateway to backend server", "gateway to stager"), at: once},
		scenario{name: "none, weights spread", at: once, spreads: true},
		scenario{name: "stager to stager, weights spread", roles: rolesOf("stager to stager"), at: once, spreads: true},
		scenario{name: allKinds, roles: roles, at: once},
		scenario{name: allKinds + ", twice", roles: roles, at: []time.Duration{0, secondAfter}},
		scenario{name: allKinds + ", weights spread", roles: roles, at: once, spreads: true})
}

// rolesOf returns the kinds with some names.
func rolesOf(names ...string) []role {
	return slices.DeleteFunc(slices.Clone(roles), func(r role) bool { return !slices.Contains(names, r.name) })
}

// manners are how connections may go silent.
var manners = []struct {
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
	for _, m := range manners {
		if only := os.Getenv("TIDEPOST_SILENCE"); only != "" && only != m.name {
			continue
		}
		t.Run(m.name, func(t *testing.T) { measureSilence(t, m.manner) })
	}
}

func measureSilence(t *testing.T, m faultproxy.Manner) {
	busy := machineLoad()
	w := startWorld(t, size{control: 3, gateways: 3, engines: 6, plain: 3, plainTakes: 20 * time.Millisecond, within: rollWithin}, logFolder(t))
	l := newLoad(w, seed(t), patience)
	time.Sleep(worldIsUp)
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
		if s.spreads {
			version++
		}
		rows = append(rows, s.play(w, l, m, version))
	}
	cancel()
	<-sending
	l.under.Wait()
	answers := l.all()
	print := func(format string, arguments ...any) { fmt.Printf("silence: "+format+"\n", arguments...) }
	print("%s, seed %d, %.0f requests/s (%.0f%% of what the engines carry), machine load %s before and %s after", t.Name(), seed(t), 1/l.every().Seconds(), 100*loadShare, busy, machineLoad())
	print("%s", head())
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
		if r.ratio() < aim {
			verdict = "broken"
			t.Errorf("%s: %.2f of what was answered in time before; the aim is %.2f", r.name, r.ratio(), aim)
		}
		print("%s: %s, %.2f against %.2f", r.name, verdict, r.ratio(), aim)
	}
	for _, b := range w.begunTooLate() {
		t.Errorf("%s began on version %d %s after a later one was acknowledged", b.ID, b.Version, b.after)
	}
}

// late is a request that began on a version after the time for the next was over.
type late struct {
	standin.RunStart
	after time.Duration
}

func (w *world) begunTooLate() []late {
	var all []late
	for _, b := range w.ledger.Started() {
		next, named := w.named[b.Version+1]
		if after := b.At.Sub(next); named && after > w.size.within {
			all = append(all, late{b, after})
		}
	}
	return all
}

// play has the connections go silent after a calm time and waits until the
// requests of the window after are over.
func (s scenario) play(w *world, l *load, m faultproxy.Manner, version uint64) row {
	time.Sleep(calm)
	if s.spreads {
		w.name(w.t.Context(), version)
		time.Sleep(spreadBefore)
	}
	r := row{name: s.name, from: time.Now()}
	for _, after := range s.at {
		time.Sleep(time.Until(r.from.Add(after)))
		r.silent = append(r.silent, w.silence(s.roles, m)...)
	}
	r.to = time.Now().Add(window)
	time.Sleep(time.Until(r.to.Add(settle)))
	if s.spreads {
		time.Sleep(time.Until(w.named[version].Add(w.size.within)))
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

// share counts requests and those answered in time.
type share struct{ inTime, asked int }

func (s share) of() float64 { return float64(s.inTime) / float64(max(s.asked, 1)) }

func (s share) String() string { return fmt.Sprintf("%.2f (%d/%d)", s.of(), s.inTime, s.asked) }

// row is what one scenario gave.
type row struct {
	name     string
	from, to time.Time
	silent   []silenced

	// before are the requests of the last window of which all were over when the
	// connections went silent, just before those of the last window at all, which
	// the silence met under way, and after those of the window after.
	before, justBefore, after   share
	underWay                    share
	streamsBefore, streamsAfter share
	plainBefore, plainAfter     share
	late                        lateness // of those after
	course                      []share  // by when they were sent, in steps
}

// The course is told in steps from a time before the silence on.
const (
	courseStep   = 500 * time.Millisecond
	courseBefore = 2 * courseStep
	courseSteps  = 20
)

// follow counts a request in the course.
func (r *row) follow(a standin.Result) {
	if r.course == nil {
		r.course = make([]share, courseSteps)
	}
	at := a.Sent.Sub(r.from.Add(-courseBefore))
	if step := int(at / courseStep); at >= 0 && step < courseSteps {
		r.course[step].add(a)
	}
}

// courseLine is the course as one line.
func (r *row) courseLine() string {
	var steps []string
	for _, s := range r.course {
		steps = append(steps, fmt.Sprintf("%.2f", s.of()))
	}
	return fmt.Sprintf(kindLine, fmt.Sprintf("every %.1f s, from -%.1f s", courseStep.Seconds(), courseBefore.Seconds()), strings.Join(steps, " "))
}

// longestAnswer is longer than the longest answer takes at a busy engine.
const longestAnswer = 2 * time.Second

// count counts the requests by when they were sent.
func (r *row) count(answers []standin.Result) {
	within := func(a standin.Result, from, to time.Time) bool { return !a.Sent.Before(from) && a.Sent.Before(to) }
	over := r.from.Add(-longestAnswer)
	for _, a := range answers {
		if within(a, over.Add(-window), over) {
			r.before.add(a)
			kindOf(a, &r.streamsBefore, &r.plainBefore).add(a)
		}
		if within(a, r.from.Add(-window), r.from) {
			r.justBefore.add(a)
		}
		if within(a, over, r.from) && a.Sent.Add(a.Duration).After(r.from) {
			r.underWay.add(a)
		}
		if within(a, r.from, r.to) {
			r.after.add(a)
			kindOf(a, &r.streamsAfter, &r.plainAfter).add(a)
			r.late.add(a)
		}
		r.follow(a)
	}
}

func kindOf(a standin.Result, streams, plain *share) *share {
	if a.Request.Kind == standin.Stream {
		return streams
	}
	return plain
}

func (s *share) add(a standin.Result) {
	s.asked++
	if a.InTime() {
		s.inTime++
	}
}

// lateness counts the requests that were not answered in time, by why.
type lateness struct{ refused, late, paused, lost int }

func (l *lateness) add(a standin.Result) {
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

func (l lateness) String() string {
	return fmt.Sprintf("%d, %d, %d, %d", l.refused, l.late, l.paused, l.lost)
}

// ratio is the share answered in time after over that before.
func (r *row) ratio() float64 { return r.after.over(r.before) }

func (s share) over(other share) float64 {
	return s.of() / max(other.of(), math.SmallestNonzeroFloat64)
}

// kinds are the kinds of connections that went silent.
func (r *row) kinds() []string {
	var kinds []string
	for _, s := range r.silent {
		if !slices.Contains(kinds, s.role) {
			kinds = append(kinds, s.role)
		}
	}
	return kinds
}

const (
	rowFormat = "%-40s | %14s | %14s | %5s | %10s | %12s | %12s | %13s | %18s | %s"
	kindLine  = "    %-26s | %s"
)

// head names the columns. The second ratio is against the requests of the window
// just before, of which the silence met some under way.
func head() string {
	return fmt.Sprintf(rowFormat, "connections", "before", "after", "ratio", "just before", "streams", "plain", "under way",
		"refused,late,paused,lost", "silent | replaced after s: median, longest, not within the time")
}

// lines are the line of the row and, where several kinds went silent, one for the
// replacement of each.
func (r *row) lines() []string {
	twoShares := func(a, b share) string { return fmt.Sprintf("%.2f to %.2f", a.of(), b.of()) }
	lines := []string{fmt.Sprintf(rowFormat, r.name, r.before, r.after, fmt.Sprintf("%.2f", r.ratio()),
		fmt.Sprintf("%.2f: %.2f", r.justBefore.of(), r.after.over(r.justBefore)),
		twoShares(r.streamsBefore, r.streamsAfter), twoShares(r.plainBefore, r.plainAfter), r.underWay, r.late, r.replacements(r.silent))}
	lines = append(lines, r.courseLine())
	kinds := r.kinds()
	if len(kinds) < 2 {
		return lines
	}
	for _, kind := range kinds {
		of := slices.DeleteFunc(slices.Clone(r.silent), func(s silenced) bool { return s.role != kind })
		lines = append(lines, fmt.Sprintf(kindLine, kind, r.replacements(of)))
	}
	return lines
}

// replacements tells how many connections went silent and how long it took until
// their dialers came with new ones. Not all do: who follows a control node goes to
// another one.
func (r *row) replacements(all []silenced) string {
	count, waiting := 0, 0
	var took []time.Duration
	for _, s := range all {
		count += s.count
		if d, ok := s.replaced(r.to.Add(settle)); ok {
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

// replaced returns how long it took until the dialer came with a new connection;
// false where it had not by some time.
func (s silenced) replaced(by time.Time) (time.Duration, bool) {
	for _, o := range s.proxy.Openings() {
		if o.Label == s.label && o.At.After(s.at) && o.At.Before(by) {
			return o.At.Sub(s.at), true
		}
	}
	return 0, false
}
