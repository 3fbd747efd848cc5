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

// maxPerSecond is the highest limit that is taken at its word, in requests a second: a
// thousand times what an engine serves.
const maxPerSecond = 1e6

// decimalChars are those of a decimal number. strconv reads hexadecimal numbers and words
// such as "inf" too.
const decimalChars = "0123456789+-.eE"

// Kind tells what is said apart.
type Kind uint8

// The kinds.
const (
	// None says no limit.
	None Kind = iota
	// Invalid says something that is no limit.
	Invalid
	// Valid says a limit.
	Valid
)

// AdvertisedLimit is what one answer says of a limit. The zero value says none.
type AdvertisedLimit struct {
	kind      Kind
	perSecond float64
}

// ParseHeader reads the values of a header field; none is that the answer lacks it.
func ParseHeader(values []string) AdvertisedLimit {
	if len(values) == 0 {
		return AdvertisedLimit{}
	}
	text := strings.TrimSpace(values[0])
	if len(values) > 1 || strings.Trim(text, decimalChars) != "" {
		return AdvertisedLimit{kind: Invalid}
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(perSecond, 0) || perSecond < 0 || perSecond > maxPerSecond {
		return AdvertisedLimit{kind: Invalid}
	}
	return AdvertisedLimit{Valid, perSecond}
}

// Kind returns the kind.
func (s AdvertisedLimit) Kind() Kind { return s.kind }

// PerSecond returns the limit that is named, in requests a second.
func (s AdvertisedLimit) PerSecond() float64 { return s.perSecond }
