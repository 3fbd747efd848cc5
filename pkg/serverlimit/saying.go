// ================================================================
// What an answer says of its backend server's limit: nothing, a number, or something that
// is no number. The three are kept apart, since the third must change nothing: taken for
// nothing it would open a server in need to all, and taken for 0 it would shut it out.
// ================================================================

// Package serverlimit keeps the limits that backend servers name: the requests a second
// that one takes from all gateways together, for as long as its answers say so.
package serverlimit

import (
	"math"
	"strconv"
	"strings"
)

// mostPerSecond is the highest limit that is taken at its word, in requests a second: a
// thousand times what an engine serves.
const mostPerSecond = 1e6

// decimalSigns are those of a decimal number. strconv reads hexadecimal numbers and words
// such as "inf" too.
const decimalSigns = "0123456789+-.eE"

// Kind tells what is said apart.
type Kind uint8

// The kinds.
const (
	// None says no limit.
	None Kind = iota
	// Unreadable says something that is no limit.
	Unreadable
	// Named says a limit.
	Named
)

// Saying is what one answer says of a limit. The zero value says none.
type Saying struct {
	kind      Kind
	perSecond float64
}

// Read reads the values of a header field; none is that the answer lacks it.
func Read(values []string) Saying {
	if len(values) == 0 {
		return Saying{}
	}
	text := strings.TrimSpace(values[0])
	if len(values) > 1 || strings.Trim(text, decimalSigns) != "" {
		return Saying{kind: Unreadable}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(perSecond, 0) || perSecond < 0 || perSecond > mostPerSecond {
		return Saying{kind: Unreadable}
	}
	return Saying{Named, perSecond}
}

// Kind returns the kind.
func (s Saying) Kind() Kind { return s.kind }

// PerSecond returns the limit that is named, in requests a second.
func (s Saying) PerSecond() float64 { return s.perSecond }
