// ================================================================
// Decides whether all gateways together kept to the limits that backend servers advertised. It
// uses only the requests that arrived at a server and the limits in its responses, so it does
// not depend on how gateways implement limits.
// ================================================================

package soak

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' rule: in any 4 s at most one and
	// a half times the requests that the limit allows, plus 5.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time from a response that advertises a limit until the requests of the
	// gateway that got it count.
	limitGrace = 500 * time.Millisecond
	// maxLimitPerSecond is the largest rate that is a valid limit.
	maxLimitPerSecond = 1e6
	// limitUseDelay is the time from the advertisement of a limit until its use is measured. All
	// gateways have received the limit by then.
	limitUseDelay = time.Second
)

// limitedServer is a backend server that may advertise a limit.
type limitedServer struct {
	name  string
	limit *standin.LimitAdvertiser
}

// limitPeriod is a time in which a backend server advertised one limit.
type limitPeriod struct {
	from, to  time.Time
	since     time.Time // start of the uninterrupted time with some limit
	perSecond float64
}

// limitPeriods returns the periods in which valid limits were advertised.
func limitPeriods(n *standin.LimitAdvertiser) (periods []limitPeriod) {
	texts := n.Advertisements()
	for i, s := range texts {
		to := time.Now()
		if i+1 < len(texts) {
			to = texts[i+1].From
		}
		perSecond, ok := parseLimit(s.Text)
		if !ok {
			continue
		}
		since := s.From
		if n := len(periods); n > 0 && periods[n-1].to.Equal(s.From) {
			since = periods[n-1].since
		}
		periods = append(periods, limitPeriod{s.From, to, since, perSecond})
	}
	return periods
}

func parseLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	ok = err == nil && !math.IsNaN(perSecond) && perSecond >= 0 && perSecond <= maxLimitPerSecond
	return perSecond, ok
}

// limitAt returns the limit that was advertised at a moment.
func limitAt(periods []limitPeriod, at time.Time) (p limitPeriod, ok bool) {
	for _, p := range periods {
		if !at.Before(p.from) && at.Before(p.to) {
			return p, true
		}
	}
	return limitPeriod{}, false
}

// gatewayOf returns the name of the gateway that a keep-alive caller's request went to.
func gatewayOf(id string) string {
	number, _, _ := strings.Cut(strings.TrimLeft(id, "sp"), ".")
	return "gateway-" + number
}

// countedArrivals returns the arrivals that the rule counts: those from gateways whose current
// process had got a response with a limit at least limitGrace before.
func (cl *cluster) countedArrivals(s limitedServer, periods []limitPeriod) (counted []standin.RequestTime) {
	informed := map[string][]time.Time{}
	for _, a := range s.limit.LimitedResponses() {
		informed[gatewayOf(a.ID)] = append(informed[gatewayOf(a.ID)], a.At)
	}
	for _, a := range s.limit.Arrivals() {
		gateway := gatewayOf(a.ID)
		p, named := limitAt(periods, a.At)
		if !named {
			continue
		}
		since := latestBefore(cl.programs.startTimesOf(gateway), a.At)
		if p.since.After(since) {
			since = p.since
		}
		for _, at := range informed[gateway] {
			if !at.Before(since) && a.At.Sub(at) >= limitGrace {
				counted = append(counted, a)
				break
			}
		}
	}
	return counted
}

// latestBefore returns the last of some moments that is before a given one.
func latestBefore(moments []time.Time, before time.Time) (last time.Time) {
	for _, m := range moments {
		if m.Before(before) {
			last = m
		}
	}
	return last
}

// limitViolations returns a line for the worst window of each period in which a backend server
// got too many requests, and the largest number of requests in any window.
func (cl *cluster) limitViolations(s limitedServer) (lines []string, maxCount int) {
	periods := limitPeriods(s.limit)
	counted := cl.countedArrivals(s, periods)
	worst := map[time.Time]string{}
	worstSurplus := map[time.Time]float64{}
	first := 0
	for i, a := range counted {
		for counted[first].At.Before(a.At.Add(-limitWindow)) {
			first++
		}
		received := i - first + 1
		maxCount = max(maxCount, received)
		allowed := math.Floor(limitFactor*limitWindow.Seconds()*highestLimit(periods, counted[first].At, a.At) + limitSlack)
		if surplus := float64(received) - allowed; surplus > 0 {
			p, _ := limitAt(periods, a.At)
			if surplus > worstSurplus[p.from] {
				worstSurplus[p.from] = surplus
				worst[p.from] = fmt.Sprintf("%s announced a limit of %g requests a second and got %d in %s from gateways that knew it; at most %g are allowed", s.name, p.perSecond, received, limitWindow, allowed)
			}
		}
	}
	for _, p := range periods {
		if line, found := worst[p.from]; found {
			lines = append(lines, line)
		}
	}
	return lines, maxCount
}

// highestLimit returns the highest limit that was advertised at any time between two moments.
func highestLimit(periods []limitPeriod, from, to time.Time) (perSecond float64) {
	for _, p := range periods {
		if !p.from.After(to) && p.to.After(from) {
			perSecond = max(perSecond, p.perSecond)
		}
	}
	return perSecond
}

// arrivalsBetween returns how many requests arrived at a backend server between two moments.
func arrivalsBetween(n *standin.LimitAdvertiser, from, to time.Time) (count int) {
	for _, a := range n.Arrivals() {
		if !a.At.Before(from) && a.At.Before(to) {
			count++
		}
	}
	return count
}
