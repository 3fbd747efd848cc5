// ================================================================
// The gateway's own protocol, with headers named X-Tidepost-*.
// ================================================================

package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidepost/tidepost/pkg/serverlimit"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// Headers of the gateway's own protocol.
const (
	headerID           = "X-Tidepost-Request"
	headerKey          = "X-Tidepost-Key"
	headerModel        = "X-Tidepost-Model"
	headerDeadline     = "X-Tidepost-Deadline" // milliseconds left
	headerIncarnation  = "X-Tidepost-Incarnation"
	headerOrganisation = "X-Tidepost-Organisation"
	headerVersion      = "X-Tidepost-Version"
	headerUrgency      = "X-Tidepost-Urgency"
	headerNotRun       = "X-Tidepost-Not-Run"
	headerLastEvent    = "Last-Event-Id"
	headerLimit        = "X-Tidepost-Limit"        // requests a second
	headerPromptParts  = "X-Tidepost-Prompt-Parts" // ids separated by commas, those that requests may share
)

// NativeProtocol returns the gateway's own protocol.
func NativeProtocol() Protocol {
	return Protocol{Name: "own", ReadyPath: "/readyz", ReadRequest: readNativeRequest, Prepare: prepareNative, ReadResponse: readNativeResponse, Probe: nativeProbe, StreamIdleTimeout: nativeStreamIdleTimeout}
}

// nativeStreamIdleTimeout returns the silence after which callers are assumed to give up, since
// their behaviour is not known.
func nativeStreamIdleTimeout(time.Duration, time.Duration) time.Duration { return 2 * time.Second }

func readNativeRequest(h http.Header) RequestHead {
	deadline, _ := strconv.ParseInt(h.Get(headerDeadline), 10, 64)
	return RequestHead{
		ID: h.Get(headerID), Key: h.Get(headerKey), Model: h.Get(headerModel),
		Timeout: time.Duration(deadline) * time.Millisecond, LastEventID: h.Get(headerLastEvent),
		PromptParts: SplitList(strings.Join(h.Values(headerPromptParts), ",")),
	}
}

// SplitList splits a header field at its commas, and leaves out empty elements.
func SplitList(field string) (elements []string) {
	for element := range strings.SplitSeq(field, ",") {
		if element = strings.TrimSpace(element); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

func prepareNative(h http.Header, a Attempt) {
	h.Del(headerKey)
	h.Del(headerOrganisation)
	h.Set(headerIncarnation, a.Incarnation)
	h.Set(headerDeadline, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	setIfNotEmpty(h, headerOrganisation, a.Organisation)
	setIfNotEmpty(h, headerLastEvent, a.LastEventID)
	if a.Version > 0 {
		h.Set(headerVersion, strconv.FormatUint(a.Version, 10))
	}
	if a.Urgency >= 0 {
		h.Set(headerUrgency, strconv.Itoa(a.Urgency))
	}
}

func setIfNotEmpty(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// nativeProbe asks for the health path, or else sends the no-op request of HTTP.
func nativeProbe(s *serviceconfig.Service, incarnation string) upstream.Request {
	header := http.Header{headerIncarnation: {incarnation}}
	if path := s.HealthPath(); path != "" {
		return upstream.Request{Method: http.MethodGet, URI: path, Header: header}
	}
	return upstream.Request{Method: http.MethodOptions, URI: "*", Header: header}
}

func readNativeResponse(_ int, h http.Header) ResponseHead {
	version, _ := strconv.ParseUint(h.Get(headerVersion), 10, 64)
	return ResponseHead{
		ID: h.Get(headerID), FromBackend: true, NotRun: h.Get(headerNotRun) != "", Version: version,
		Limit: serverlimit.ParseHeader(h.Values(headerLimit)),
	}
}
