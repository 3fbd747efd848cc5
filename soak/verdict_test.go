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
	// deadlineSlack is how early before a deadline an end counts as due to it.
	deadlineSlack = 100 * time.Millisecond
	// unreadSlack is for how long a request may lie read and not passed on when its
	// connection closes.
	unreadSlack = 200 * time.Millisecond
	// earlyRequestTime is how soon after it a request is sent that may be cut if a server
	// works on it until the last sixth of the time for the stop.
	earlyRequestTime = 3 * time.Second
	lateCutTime      = drainLimit * 5 / 6
)

// stopSpan is a time in which something was done to a gateway.
type stopSpan struct {
	gateway  string // its address for callers
	from, to time.Time
}

// covers tells whether a request was under way within the span or soon after it.
func (s stopSpan) covers(k standin.KeepAliveRequest) bool {
	return s.gateway == k.Gateway && k.Ended.After(s.from) && k.Sent.Before(s.to.Add(time.Second))
}

// cutRequest is a request over a kept connection that ended without a whole answer.
type cutRequest struct {
	standin.KeepAliveRequest
	ran  int       // how often it ran at a server
	stop *stopSpan // the planned stop that it met; nil for none
	// cutByStop says that it counts as cut by planned work, and leftAlone that it counts as
	// left without an answer, whatever was done.
	cutByStop, lostAnswer bool
	logLines              []string // the gateways' log lines of it
}

// verdict is what became of all requests.
type verdict struct {
	ends map[standin.Outcome]int
	cuts []cutRequest
	// wrongAnswers are answers that seemed whole and were not those of their requests.
	wrongAnswers []standin.KeepAliveRequest
	// interrupted counts the streams under way that guards of gateways ended, by reason.
	interrupted map[string]int
}

// evaluate looks at all requests that are over, when the run is. It ends the programs first: a line
// waits in their queues for some ms before it is written, and longer on a busy machine.
func (cl *cluster) evaluate(ended []standin.KeepAliveRequest, stops []stopSpan) verdict {
	cl.programs.stopAll()
	v := verdict{ends: map[standin.Outcome]int{}, interrupted: map[string]int{}}
	told := cl.requestLogLines(func(why string) { v.interrupted[why]++ })
	for _, k := range ended {
		v.ends[k.Outcome]++
		if k.Outcome == standin.Succeeded && k.Reason != "" {
			v.wrongAnswers = append(v.wrongAnswers, k)
		}
		if k.Outcome != standin.NoResponse && k.Outcome != standin.Truncated && k.Outcome != standin.TimedOut {
			continue
		}
		c := cutRequest{KeepAliveRequest: k, ran: cl.ledger.Runs(k.ID), logLines: told[k.ID]}
		if i := slices.IndexFunc(stops, func(s stopSpan) bool { return s.covers(k) }); i >= 0 {
			c.stop = &stops[i]
		}
		c.cutByStop = c.stop != nil && !c.allowedByStop()
		c.lostAnswer = k.AnsweredBefore > 0 && c.ran > 0 && k.Outcome != standin.Truncated && !c.pastDeadline()
		v.cuts = append(v.cuts, c)
	}
	return v
}

// pastDeadline tells whether the request ended at its deadline or later.
func (c cutRequest) pastDeadline() bool {
	return !c.Ended.Before(c.Sent.Add(c.Timeout - deadlineSlack))
}

// allowedByStop tells whether a planned stop may cut the request: nobody has read it, its
// time was over, or it was sent early enough and a server was at work on it until late.
func (c cutRequest) allowedByStop() bool {
	if c.ran == 0 && c.Ended.Sub(c.Sent) <= unreadSlack {
		return true
	}
	soon := c.Sent.Before(c.stop.from.Add(earlyRequestTime))
	return c.pastDeadline() || soon && c.ran > 0 && c.Ended.After(c.stop.from.Add(lateCutTime))
}

// requestLogLines returns what the gateways' logs say of each request, and calls interrupted for each
// stream under way that its gateway interrupted.
func (cl *cluster) requestLogLines(interrupted func(why string)) map[string][]string {
	all := map[string][]string{}
	for i := range cl.config.gateways {
		raw, err := os.ReadFile(filepath.Join(cl.programs.folder, nameOf("gateway", i)+".log"))
		if err != nil {
			cl.t.Error(err)
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

// reportLine is one cut request for a report.
func (c cutRequest) reportLine() string {
	at := ""
	if c.stop != nil {
		at = fmt.Sprintf(", sent %+.2f s from the signal, gone at %.2f", c.Sent.Sub(c.stop.from).Seconds(), c.stop.to.Sub(c.stop.from).Seconds())
	}
	return fmt.Sprintf("%s %s (%s, %d before): %s after %.2f s, ran %d, reset %t, cut by plan %t, left alone %t%s; %s; log %q",
		c.Ended.Format("05.000"), c.ID, c.Kind, c.AnsweredBefore, c.Outcome, c.Ended.Sub(c.Sent).Seconds(), c.ran, c.Reset, c.cutByStop, c.lostAnswer, at, c.Reason, c.logLines)
}

// namesCutCause tells whether a gateway's line of a request says who cut it.
func namesCutCause(line string) bool {
	return !strings.Contains(line, "the caller left") && strings.HasPrefix(line, "request ")
}
