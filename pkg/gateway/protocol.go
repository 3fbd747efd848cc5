// ================================================================
// The seam between the gateway and what callers and backend servers speak:
// which header says what. The gateway's own protocol stands in own.go; an
// adapter brings another.
// ================================================================

// Package gateway takes callers' requests, picks a backend server for each,
// forwards it and brings its answer back.
package gateway

import (
	"net/http"
	"time"

	"github.com/tidepost/tidepost/pkg/serverlimit"
)

// RequestHead is what a request says of itself.
type RequestHead struct {
	// ID is the caller's id of the request; may be empty.
	ID string
	// Key proves the caller's organisation; may be empty.
	Key string
	// Model is the model asked for; may be empty.
	Model string
	// Deadline is how long the caller will wait; 0 when it does not say.
	Deadline time.Duration
	// PromptTokens and AnswerTokens are the prompt's length and the most that
	// may be generated; 0 when not said.
	PromptTokens, AnswerTokens int
	// ExpectedTokens is the caller's guess of the answer's length; 0 when not said.
	ExpectedTokens int
	// LastEvent is the id of the last event of a stream that the caller has.
	LastEvent string
}

// Attempt is what one attempt tells a backend server.
type Attempt struct {
	// Incarnation is the only one that may run the request.
	Incarnation string
	// Organisation is the caller's; empty when it is not known.
	Organisation string
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
	// Version is the only version of the weights that may be used; 0 is any.
	Version uint64
	// Urgency is the rank among waiting requests, 0 first; below 0 says nothing.
	Urgency int
	// LastEvent is the id after which a stream goes on; may be empty.
	LastEvent string
}

// ResponseHead is what the head of an answer says of itself.
type ResponseHead struct {
	// ID is the request's id as the backend server read it; may be empty.
	ID string
	// FromBackend says that the answer is a backend server's own.
	FromBackend bool
	// NotRun says that the request has not run there and will not.
	NotRun bool
	// Version is the version of the weights; 0 when not said.
	Version uint64
	// Incarnation is the one that answers; empty when not said.
	Incarnation string
	// Limit is what the backend server takes from all gateways together.
	Limit serverlimit.Saying
}

// IsFromOther tells whether the answer comes from another incarnation.
func (a ResponseHead) IsFromOther(expected string) bool {
	return a.Incarnation != "" && a.Incarnation != expected
}

// Protocol is what callers and backend servers speak.
type Protocol struct {
	// Name is how settings name it.
	Name string
	// ReadyPath is where the balancer asks whether to send callers here.
	ReadyPath string
	// ReadRequest reads a request's header, and must not change it.
	ReadRequest func(h http.Header) RequestHead
	// Prepare changes the copy of a request's header that one attempt sends.
	Prepare func(h http.Header, a Attempt)
	// ReadResponse reads the head of an answer.
	ReadResponse func(status int, h http.Header) ResponseHead
	// StreamIdleTimeout is after which pause the caller of a stream gives it up, by what its route
	// asks of the first event and of pauses.
	StreamIdleTimeout func(objective, gap time.Duration) time.Duration
}

// Called returns the protocol's name.
func (p Protocol) Called() string { return p.Name }
