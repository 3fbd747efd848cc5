// ================================================================
// Parses the limit that an answer of a backend server advertises: no limit, a valid limit, or an
// invalid value. An invalid value must change nothing: treated as no limit it would lift the limit
// of an overloaded server, and treated as 0 it would keep all requests from it.
// ================================================================

// Package serverlimit enforces the rate limits that backend servers advertise: the requests per
// second that a server accepts from all gateways together, for as long as its answers advertise the
// limit.
package serverlimit

import (
	"math"
	"strconv"
	"strings"
)

// maxPerSecond is the highest limit that is accepted, in requests per second: a thousand times what
// an engine serves.
const maxPerSecond = 1e6

// decimalChars are the characters of a decimal number. strconv also parses hexadecimal numbers and
// words such as "inf".
const decimalChars = "0123456789+-.eE"

// Kind is the kind of limit that an answer advertises.
type Kind uint8

// The kinds.
const (
	// None means that the answer has no limit.
	None Kind = iota
	// Invalid means that the value is not a limit.
	Invalid
	// Valid means that the answer has a limit.
	Valid
)

// AdvertisedLimit is the limit of its backend server that one answer advertises. The zero value is
// no limit.
type AdvertisedLimit struct {
	kind      Kind
	perSecond float64
}

// ParseHeader parses the values of the header field; no values mean that the answer lacks it.
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

// Kind returns whether the answer has no limit, an invalid one or a valid one.
func (a AdvertisedLimit) Kind() Kind { return a.kind }

// PerSecond returns the limit in requests per second, 0 unless it is valid.
func (a AdvertisedLimit) PerSecond() float64 { return a.perSecond }
