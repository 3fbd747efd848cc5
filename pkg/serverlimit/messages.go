// ================================================================
// The messages that gateways exchange about permits.
// ================================================================

package serverlimit

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import "time"

// Server identifies one process of a backend server.
//
//wire:generate
type Server struct {
	// incarnation identifies the backend server.
	incarnation string
	// startedAt distinguishes the processes of one incarnation; 0 where it is not known.
	startedAt uint64
	// domain is the failure domain of the server.
	domain string
}

// PermitRequest asks the owner of a limit for a permit to send one request.
//
//wire:generate
type PermitRequest struct {
	// server is the backend server.
	server Server
	// perSecond is the limit, in requests per second, that the requesting gateway learned last.
	perSecond float64
	// changed is true if the gateway learned this limit since its last request.
	changed bool
	// age is the longest time for which the gateway may have known the limit: since it sent the
	// request whose answer advertised it.
	age time.Duration
	// unlimited is true if the server advertises no limit as far as the gateway knows. The permit is
	// then needed for its warm-up.
	unlimited bool
	// warmup is the limit of a server that warms up; the zero value if it does not.
	warmup Warmup
}

// Shared returns the request for a permit from an equal share of the limits among so many gateways.
func (p PermitRequest) Shared(gateways int) PermitRequest {
	p.perSecond /= float64(gateways)
	p.warmup.perSecond /= float64(gateways)
	return p
}

// Warmup is the limit of a server that has started recently. It comes from the configuration, and what
// is left of the warm-up from the server.
//
//wire:generate
type Warmup struct {
	// perSecond is the limit, in requests per second.
	perSecond float64
	// left is the time until the warm-up ends.
	left time.Duration
}

// IsOver reports whether the warm-up limits nothing any more.
func (w Warmup) IsOver() bool { return w.left <= 0 || w.perSecond <= 0 }

// PermitResponse answers a PermitRequest.
//
//wire:generate
type PermitResponse struct {
	// permit is the permit that was granted; its zero value is none.
	permit Permit
	// limitEnded is true if the server advertises no limit any more, so that no permit is needed.
	limitEnded bool
	// perSecond is the advertised limit that the owner applies, in requests per second.
	perSecond float64
	// retryAfter is the time until the next permit is due, where none was granted.
	retryAfter time.Duration
	// owner is the link address of the gateway that decided; empty where that gateway takes no
	// reports.
	owner string
	// unlimited is true if the owner knows of no advertised limit, and perSecond is not valid.
	unlimited bool
}

// WithOwner returns the response with the link address of the gateway that decided.
func (r PermitResponse) WithOwner(owner string) PermitResponse {
	r.owner = owner
	return r
}

// Permit allows one request to be sent to a server.
//
//wire:generate
type Permit struct {
	// limiterID is the id of the limiter that granted it, and number its sequence number there,
	// from 1 on.
	limiterID uint64
	number    uint64
}

// IsGranted reports whether there is a permit.
func (p Permit) IsGranted() bool { return p.number > 0 }

// Outcome is the result of a permit.
type Outcome uint8

// The outcomes.
const (
	// Unused means that no request was sent with the permit.
	Unused Outcome = iota + 1
	// LimitAdvertised means that the answer advertised a limit, and NoLimitAdvertised that it
	// advertised none.
	LimitAdvertised
	NoLimitAdvertised
)

// PermitReport reports the outcome of a permit to the owner of the limit, which granted it.
//
//wire:generate
type PermitReport struct {
	// server is the backend server.
	server Server
	// permit is the permit that was granted.
	permit Permit
	// outcome is the result of the permit.
	outcome Outcome
	// perSecond is the limit that the answer advertised, in requests per second.
	perSecond float64
}
