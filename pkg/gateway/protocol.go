// ================================================================
// The interface between the gateway and the header formats of callers and backend servers.
// native_protocol.go implements the gateway's own protocol; adapters supply others.
// ================================================================

// Package gateway accepts callers' requests, forwards each to a chosen backend server and
// relays the response.
package gateway

import (
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/serverlimit"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// RequestHead is what the headers of a request say.
type RequestHead struct {
	// ID is the caller's request id; may be empty.
	ID string
	// Key authenticates the caller's organisation; may be empty.
	Key string
	// Model is the requested model; may be empty.
	Model string
	// Timeout is how long the caller waits; 0 if not given.
	Timeout time.Duration
	// PromptTokens is the length of the prompt and AnswerTokens the most tokens to generate; 0
	// if not given.
	PromptTokens, AnswerTokens int
	// ExpectedTokens is the caller's estimate of the answer's length; 0 if not given.
	ExpectedTokens int
	// LastEventID is the id of the last event of a stream that the caller has received.
	LastEventID string
	// PromptParts are the ids of the parts of the prompt that other requests may share, in order.
	PromptParts []string
}

// Attempt is what the headers of one attempt tell a backend server.
type Attempt struct {
	// Incarnation identifies the only start of a backend server that may run the request.
	Incarnation string
	// Organisation is the caller's organisation; empty if unknown.
	Organisation string
	// Remaining is how long the gateway waits for the response.
	Remaining time.Duration
	// Version is the only version of the weights that may be used; 0 allows any.
	Version uint64
	// Urgency is the rank among waiting requests, 0 first; a negative value is not sent.
	Urgency int
	// LastEventID is the id of the event after which a stream resumes; may be empty.
	LastEventID string
}

// ResponseHead is what the head of a response says.
type ResponseHead struct {
	// ID is the request id as the backend server read it; may be empty.
	ID string
	// FromBackend says that the backend server itself made the response, not a proxy or other
	// process.
	FromBackend bool
	// NotRun says that the request has not run there and will not.
	NotRun bool
	// Version is the version of the weights that was used; 0 if not given.
	Version uint64
	// Incarnation identifies the backend server that responds; empty if not given.
	Incarnation string
	// Limit is the rate of requests that the backend server accepts from all gateways together.
	Limit serverlimit.AdvertisedLimit
}

// IsFromOther reports whether the response names another incarnation than the expected one.
func (h ResponseHead) IsFromOther(expected string) bool {
	return h.Incarnation != "" && h.Incarnation != expected
}

// Protocol translates between requests and the headers of callers and backend servers.
type Protocol struct {
	// Name is the protocol's name in the settings.
	Name string
	// ReadyPath is the HTTP path of the load balancer's readiness check.
	ReadyPath string
	// ReadRequest reads a request's headers, and must not change them.
	ReadRequest func(h http.Header) RequestHead
	// Prepare sets the headers of one attempt in a copy of the request's headers.
	Prepare func(h http.Header, a Attempt)
	// ReadResponse reads the head of a response.
	ReadResponse func(status int, h http.Header) ResponseHead
	// Probe returns a request, without a host, to which a backend server of the service with the given
	// incarnation responds without running anything.
	Probe func(s *serviceconfig.Service, incarnation string) upstream.Request
	// StreamIdleTimeout returns the silence after which the caller of a stream gives up, from the
	// route's objectives for the first event and for gaps between events.
	StreamIdleTimeout func(objective, gap time.Duration) time.Duration
}

// ProtocolName returns the protocol's name.
func (p Protocol) ProtocolName() string { return p.Name }
