//go:build bench

// ================================================================
// What silence costs callers: the share of the requests sent in the 4 s after all
// connections of a kind went silent that is answered in time, against that of the
// 4 s before. The callers' aim is 0.85 of it when all kinds go silent at once.
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
	// worldIsUp is how long the programs get to find each other.
	worldIsUp = 5 * time.Second
)

// scenario is which connections go silent, and when.
type scenario struct {
	name  string
	roles []role
	at    []time.Duration
}

func scenarios() []scenario {
	once := []time.Duration{0}
	var all []scenario
	for _, r := range roles {
		all = append(all, scenario{r.name, []role{r}, once})
	}
	return append(all,
		scenario{"all kinds", roles, once},
		scenario{"all kinds, twice", roles, []time.Duration{0, secondAfter}})
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
	w := startWorld(t, size{control: 3, gateways: 3, engines: 6, plain: 3}, logFolder(t))
	l := newLoad(w, seed(t), patience)
	time.Sleep(worldIsUp)
	ctx, cancel := context.WithCancel(t.Context())
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		l.send(ctx, math.MaxInt)
	}()
	var rows []row
	for _, s := range scenarios() {
		rows = append(rows, s.play(w, l, m))
	}
	cancel()
	<-sending
	l.under.Wait()
	answers := l.all()
	print := func(format string, arguments ...any) { fmt.Printf("silence: "+format+"\n", arguments...) }
	print("%s, seed %d, %.0f requests/s (%.0f%% of what the engines carry), machine load %s", t.Name(), seed(t), 1/l.every().Seconds(), 100*loadShare, machineLoad())
	print(tableHead)
	for _, r := range rows {
		r.count(answers)
		for _, line := range r.lines() {
			print("%s", line)
		}
	}
	for _, r := range rows[len(roles):] {
		verdict := "held"
		if r.ratio() < aim {
			verdict = "broken"
			t.Errorf("%s: %.2f of what was answered in time before; the aim is %.2f", r.name, r.ratio(), aim)
		}
		print("%s: %s, %.2f against %.2f", r.name, verdict, r.ratio(), aim)
	}
}

// play has the connections go silent after a calm time and waits until the
// requests of the window after are over.
func (s scenario) play(w *world, l *load, m faultproxy.Manner) row {
	time.Sleep(calm)
	r := row{name: s.name, from: time.Now()}
	for _, after := range s.at {
		time.Sleep(time.Until(r.from.Add(after)))
		r.silent = append(r.silent, w.silence(s.roles, m)...)
	}
	r.to = time.Now().Add(window)
	time.Sleep(time.Until(r.to.Add(settle)))
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

	before, after               share
	streamsBefore, streamsAfter share
	plainBefore, plainAfter     share
	undisturbed                 share // before, and over when the silence began
	underWay                    share // begun before the silence and not over then
}

// count counts the requests by when they were sent.
func (r *row) count(answers []standin.Answer) {
	for _, a := range answers {
		switch {
		case a.Sent.Before(r.from) && !a.Sent.Before(r.from.Add(-window)):
			r.before.add(a)
			kindOf(a, &r.streamsBefore, &r.plainBefore).add(a)
			if a.Sent.Add(a.Took).After(r.from) {
				r.underWay.add(a)
			} else {
				r.undisturbed.add(a)
			}
		case !a.Sent.Before(r.from) && a.Sent.Before(r.to):
			r.after.add(a)
			kindOf(a, &r.streamsAfter, &r.plainAfter).add(a)
		}
	}
}

func kindOf(a standin.Answer, streams, plain *share) *share {
	if a.Ask.Kind == standin.Stream {
		return streams
	}
	return plain
}

func (s *share) add(a standin.Answer) {
	s.asked++
	if a.InTime() {
		s.inTime++
	}
}

// ratio is the share answered in time after over that before.
func (r *row) ratio() float64 { return r.after.of() / max(r.before.of(), math.SmallestNonzeroFloat64) }

const tableHead = "connections                    | before        | after         | ratio | streams       | plain         | under way     | silent | replaced: median, longest s, not yet"

// lines are the line of the row and, where several kinds went silent, one for the
// replacement of each.
func (r *row) lines() []string {
	lines := []string{fmt.Sprintf("%-30s | %13s | %13s |  %.2f | %4.2f to %4.2f  | %4.2f to %4.2f  | %13s | %s", r.name, r.before, r.after, r.ratio(),
		r.streamsBefore.of(), r.streamsAfter.of(), r.plainBefore.of(), r.plainAfter.of(), r.underWay, replacements(r.silent))}
	var kinds []string
	for _, s := range r.silent {
		if !slices.Contains(kinds, s.role) {
			kinds = append(kinds, s.role)
		}
	}
	if len(kinds) < 2 {
		return lines
	}
	for _, kind := range kinds {
		of := slices.DeleteFunc(slices.Clone(r.silent), func(s silenced) bool { return s.role != kind })
		lines = append(lines, fmt.Sprintf("    %-30s %s", kind, replacements(of)))
	}
	return lines
}

// replacements tells how many connections went silent and how long it took until
// their dialers came with new ones.
func replacements(all []silenced) string {
	count, waiting := 0, 0
	var took []time.Duration
	for _, s := range all {
		count += s.count
		if d, ok := s.replaced(); ok {
			took = append(took, d)
		} else {
			waiting++
		}
	}
	if len(took) == 0 {
		return fmt.Sprintf("%6d | -, -, %d", count, waiting)
	}
	slices.Sort(took)
	return fmt.Sprintf("%6d | %.2f, %.2f, %d", count, took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), waiting)
}

// replaced returns how long it took until the dialer came with a new connection;
// false while it has not.
func (s silenced) replaced() (time.Duration, bool) {
	for _, o := range s.proxy.Openings() {
		if o.Label == s.label && o.At.After(s.at) {
			return o.At.Sub(s.at), true
		}
	}
	return 0, false
}
