// ================================================================
// Decides whether requests over keep-alive connections ended as they must: a request that a
// gateway has read is answered, whatever planned operations the programs undergo. The
// requests that a planned stop may cut are defined by allowedByStop.
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
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// deadlineSlack is how long before a deadline an end still counts as caused by it.
	deadlineSlack = 100 * time.Millisecond
	// unreadSlack is how long a request may wait at a gateway, read or unread and without running
	// at a server, when its connection closes.
	unreadSlack = 200 * time.Millisecond
	// A request that is sent within earlyRequestTime after the signal may be cut if a server
	// still runs it lateCutTime after the signal, in the last sixth of the drain limit.
	earlyRequestTime = 3 * time.Second
	lateCutTime      = drainLimit * 5 / 6
)

// stopSpan is the time of a planned stop of a gateway, from the signal to the exit.
type stopSpan struct {
	gateway  string // its address for callers
	from, to time.Time
}

// covers reports whether a request was in flight during the stop or within a second after it.
func (s stopSpan) covers(k standin.KeepAliveRequest) bool {
	return s.gateway == k.Gateway && k.Ended.After(s.from) && k.Sent.Before(s.to.Add(time.Second))
}

// cutRequest is a request over a keep-alive connection that ended without a complete response.
type cutRequest struct {
	standin.KeepAliveRequest
	ran  int       // how often it ran at a server
	stop *stopSpan // the planned stop during which it was in flight; nil for none
	// cutByStop is true if a planned stop cut the request though it must not. lostResponse is true
	// if the request ran and got no response before its deadline, whatever the cause.
	cutByStop, lostResponse bool
	logLines                []string // the gateways' log lines on the request
}

// verdict is the evaluation of all requests.
type verdict struct {
	ends map[standin.Outcome]int
	cuts []cutRequest
	// wrongResponses are complete responses whose content does not match their requests.
	wrongResponses []standin.KeepAliveRequest
	// interrupted counts the running streams that gateways interrupted, by reason.
	interrupted map[string]int
}

// evaluate evaluates the requests of a finished run. It stops the programs first: log lines wait
// in a queue of the program for 20 ms, and longer on a busy machine, so a log that is read
// earlier may lack the line on a request that has just ended.
func (cl *cluster) evaluate(ended []standin.KeepAliveRequest, stops []stopSpan) verdict {
	cl.programs.stopAll()
	v := verdict{ends: map[standin.Outcome]int{}, interrupted: map[string]int{}}
	logLines := cl.requestLogLines(func(why string) { v.interrupted[why]++ })
	for _, k := range ended {
		v.ends[k.Outcome]++
		if k.Outcome == standin.Succeeded && k.Reason != "" {
			v.wrongResponses = append(v.wrongResponses, k)
		}
		if k.Outcome != standin.NoResponse && k.Outcome != standin.Truncated && k.Outcome != standin.TimedOut {
			continue
		}
		c := cutRequest{KeepAliveRequest: k, ran: cl.runLog.Runs(k.ID), logLines: logLines[k.ID]}
		if i := slices.IndexFunc(stops, func(s stopSpan) bool { return s.covers(k) }); i >= 0 {
			c.stop = &stops[i]
		}
		c.cutByStop = c.stop != nil && !c.allowedByStop()
		c.lostResponse = k.AnsweredBefore > 0 && c.ran > 0 && k.Outcome != standin.Truncated && !c.pastDeadline()
		v.cuts = append(v.cuts, c)
	}
	return v
}

// pastDeadline reports whether the request ended at its deadline or later. The gateway counts the
// deadline from the arrival of the request, which may be at any moment of its writing.
func (c cutRequest) pastDeadline() bool {
	return !c.Ended.Before(c.WriteStarted.Add(c.Timeout - deadlineSlack))
}

// allowedByStop reports whether a planned stop may cut the request: if its connection closed
// before it could reach a server, if its deadline has passed, or if it was sent early in the
// stop and a server ran it until late in the stop.
func (c cutRequest) allowedByStop() bool {
	if c.ran == 0 && c.Ended.Sub(c.Sent) <= unreadSlack {
		return true
	}
	early := c.Sent.Before(c.stop.from.Add(earlyRequestTime))
	return c.pastDeadline() || early && c.ran > 0 && c.Ended.After(c.stop.from.Add(lateCutTime))
}

// requestLogLines returns the lines on each request in the gateways' logs, and calls interrupted
// for each running stream that its gateway interrupted.
func (cl *cluster) requestLogLines(interrupted func(why string)) map[string][]string {
	byRequest := map[string][]string{}
	for i := range cl.config.gateways {
		raw, err := os.ReadFile(filepath.Join(cl.programs.folder, nameOf("gateway", i)+".log"))
		if err != nil {
			cl.t.Error(err)
			continue
		}
		lines := bufio.NewScanner(bytes.NewReader(raw))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var entry struct{ Msg, Request, Outcome, End, Why, Interrupted string }
			if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Request != "" {
				if entry.Interrupted != "" {
					interrupted(entry.Interrupted)
				}
				byRequest[entry.Request] = append(byRequest[entry.Request], entry.Msg+" "+entry.Outcome+entry.End+": "+entry.Why)
			}
		}
	}
	return byRequest
}

// reportLine formats the request for the output of a test.
func (c cutRequest) reportLine() string {
	stopTimes := ""
	if c.stop != nil {
		stopTimes = fmt.Sprintf(", sent %+.2f s from the signal, exit at %.2f", c.Sent.Sub(c.stop.from).Seconds(), c.stop.to.Sub(c.stop.from).Seconds())
	}
	return fmt.Sprintf("%s %s (%s, %d before): %s after %.2f s of %.2f, written in %.3f s, ran %d, reset %t, cut by stop %t, lost response %t%s; %s; log %q",
		c.Ended.Format("05.000"), c.ID, c.Kind, c.AnsweredBefore, c.Outcome, c.Ended.Sub(c.Sent).Seconds(), c.Timeout.Seconds(), c.Sent.Sub(c.WriteStarted).Seconds(), c.ran, c.Reset, c.cutByStop, c.lostResponse, stopTimes, c.Reason, c.logLines)
}

// namesCutCause reports whether a gateway's log line on a request gives the cause of its cut.
func namesCutCause(line string) bool {
	return !strings.Contains(line, "the caller left") && strings.HasPrefix(line, "request ")
}

// A stream that its gateway ended at the deadline that the request gave was counted as lost: this process
// had stood still between its clock and the request's header, or between the write and its clock again.
func TestVerdictCountsDeadlineFromRequest(t *testing.T) {
	const timeout, pause = 6 * time.Second, 300 * time.Millisecond
	started := time.Now()
	for _, c := range []struct {
		name           string
		timeout        time.Duration // that the request gave
		written, ended time.Duration // after WriteStarted
		past           bool
	}{
		{"paused before the header", timeout - pause, 0, timeout - pause, true},
		{"paused before the header, ended earlier", timeout - pause, 0, timeout - pause - 2*deadlineSlack, false},
		{"paused after the write", timeout, pause, timeout, true},
		{"paused after the write, ended earlier", timeout, pause, timeout - 2*deadlineSlack, false},
		{"not paused, ended earlier", timeout, 0, timeout - 2*deadlineSlack, false},
	} {
		k := cutRequest{KeepAliveRequest: standin.KeepAliveRequest{WriteStarted: started, Sent: started.Add(c.written), Ended: started.Add(c.ended), Timeout: c.timeout}}
		if k.pastDeadline() != c.past {
			t.Errorf("%s: past its deadline %t", c.name, !c.past)
		}
	}
}
