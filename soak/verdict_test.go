// ================================================================
// The verdict on how requests over kept connections ended: a request that was read is
// answered, whatever is done to the programs in order. What a planned stop may cut is said
// by stopAllows.
// ================================================================

package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// nearDeadline is how early before a deadline an end counts as due to it.
	nearDeadline = 100 * time.Millisecond
	// lossSlack is for how long a request may lie read and not passed on when its
	// connection closes.
	lossSlack = 200 * time.Millisecond
	// soonAfterSignal is how soon after it a request is sent that may be cut if a server
	// works on it until the last sixth of the time for the stop.
	soonAfterSignal = 3 * time.Second
	lastSixth       = stopLimit * 5 / 6
)

// span is a time in which something was done to a gateway.
type span struct {
	gateway  string // its address for callers
	from, to time.Time
}

// covers tells whether a request was under way within the span or soon after it.
func (s span) covers(k standin.KeepAliveRequest) bool {
	return s.gateway == k.Gateway && k.Ended.After(s.from) && k.Sent.Before(s.to.Add(time.Second))
}

// cut is a request over a kept connection that ended without a whole answer.
type cut struct {
	standin.KeepAliveRequest
	ran  int   // how often it ran at a server
	stop *span // the planned stop that it met; nil for none
	// cutByPlan says that it counts as cut by planned work, and leftAlone that it counts as
	// left without an answer, whatever was done.
	cutByPlan, leftAlone bool
	told                 []string // the gateways' log lines of it
}

// verdict is what became of all requests.
type verdict struct {
	ends map[standin.Outcome]int
	cuts []cut
	// wrong are answers that seemed whole and were not those of their requests.
	wrong []standin.KeepAliveRequest
	// interrupted counts the streams under way that guards of gateways ended, by reason.
	interrupted map[string]int
}

// judge looks at all requests that are over, when the run is. It ends the programs first: a line
// waits in their queues for some ms before it is written, and longer on a busy machine.
func (w *world) judge(ended []standin.KeepAliveRequest, stops []span) verdict {
	w.programs.end()
	v := verdict{ends: map[standin.Outcome]int{}, interrupted: map[string]int{}}
	told := w.requestLines(func(why string) { v.interrupted[why]++ })
	for _, k := range ended {
		v.ends[k.Outcome]++
		if k.Outcome == standin.Succeeded && k.Reason != "" {
			v.wrong = append(v.wrong, k)
		}
		if k.Outcome != standin.NoResponse && k.Outcome != standin.Truncated && k.Outcome != standin.TimedOut {
			continue
		}
		c := cut{KeepAliveRequest: k, ran: w.ledger.Runs(k.ID), told: told[k.ID]}
		if i := slices.IndexFunc(stops, func(s span) bool { return s.covers(k) }); i >= 0 {
			c.stop = &stops[i]
		}
		c.cutByPlan = c.stop != nil && !c.stopAllows()
		c.leftAlone = k.AnsweredBefore > 0 && c.ran > 0 && k.Outcome != standin.Truncated && !c.isLate()
		v.cuts = append(v.cuts, c)
	}
	return v
}

// isLate tells whether the request ended at its deadline or later.
func (c cut) isLate() bool { return !c.Ended.Before(c.Sent.Add(c.Timeout - nearDeadline)) }

// stopAllows tells whether a planned stop may cut the request: nobody has read it, its
// time was over, or it was sent early enough and a server was at work on it until late.
func (c cut) stopAllows() bool {
	if c.ran == 0 && c.Ended.Sub(c.Sent) <= lossSlack {
		return true
	}
	soon := c.Sent.Before(c.stop.from.Add(soonAfterSignal))
	return c.isLate() || soon && c.ran > 0 && c.Ended.After(c.stop.from.Add(lastSixth))
}

// requestLines returns what the gateways' logs say of each request, and calls interrupted for each
// stream under way that its gateway interrupted.
func (w *world) requestLines(interrupted func(why string)) map[string][]string {
	all := map[string][]string{}
	for i := range w.size.gateways {
		raw, err := os.ReadFile(filepath.Join(w.programs.folder, nameOf("gateway", i)+".log"))
		if err != nil {
			w.t.Error(err)
			continue
		}
		lines := bufio.NewScanner(bytes.NewReader(raw))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var told struct{ Msg, Request, Outcome, End, Why, Interrupted string }
			if json.Unmarshal(lines.Bytes(), &told) == nil && told.Request != "" {
				if told.Interrupted != "" {
					interrupted(told.Interrupted)
				}
				all[told.Request] = append(all[told.Request], told.Msg+" "+told.Outcome+told.End+": "+told.Why)
			}
		}
	}
	return all
}

// line is one cut request for a report.
func (c cut) line() string {
	at := ""
	if c.stop != nil {
		at = fmt.Sprintf(", sent %+.2f s from the signal, gone at %.2f", c.Sent.Sub(c.stop.from).Seconds(), c.stop.to.Sub(c.stop.from).Seconds())
	}
	return fmt.Sprintf("%s %s (%s, %d before): %s after %.2f s, ran %d, reset %t, cut by plan %t, left alone %t%s; %s; log %q",
		c.Ended.Format("05.000"), c.ID, c.Kind, c.AnsweredBefore, c.Outcome, c.Ended.Sub(c.Sent).Seconds(), c.ran, c.Reset, c.cutByPlan, c.leftAlone, at, c.Reason, c.told)
}

// namesTheCut tells whether a gateway's line of a request says who cut it.
func namesTheCut(line string) bool {
	return !strings.Contains(line, "the caller left") && strings.HasPrefix(line, "request ")
}
