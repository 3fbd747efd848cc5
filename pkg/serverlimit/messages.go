package serverlimit

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import "time"

// Server is one start of a backend server.
//
//wire:generate
type Server struct {
	// incarnation names it.
	incarnation string
	// startTime tells starts of one incarnation apart; 0 where that is not known.
	startTime uint64
	// domain is its failure domain.
	domain string
}

// PermitRequest asks the owner of a limit for a permit to send one request.
//
//wire:generate
type PermitRequest struct {
	// server is the backend server.
	server Server
	// perSecond is the limit as the asking gateway heard it last.
	perSecond float64
	// changed says that it heard it since it asked last.
	changed bool
	// age is for how long it has known it at the most: since it sent the request whose answer
	// named it.
	age time.Duration
}

// PermitResponse answers an Ask.
//
//wire:generate
type PermitResponse struct {
	// permit is what was granted; its zero value is none.
	permit Permit
	// limitEnded says that the server names no limit any more: whoever asked need not ask.
	limitEnded bool
	// perSecond is the limit that the owner keeps.
	perSecond float64
	// retryAfter is after which time there is another permit, where none was granted.
	retryAfter time.Duration
	// owner is the link address of the gateway that decided; empty where that takes no
	// reports.
	owner string
}

// WithOwner returns the answer with the gateway that decided it.
func (a PermitResponse) WithOwner(owner string) PermitResponse {
	a.owner = owner
	return a
}

// Permit allows to send one request to a server.
//
//wire:generate
type Permit struct {
	// limiterID is the process that granted it, and number its number there, from 1 on.
	limiterID uint64
	number    uint64
}

// IsGranted tells whether there is a permit.
func (p Permit) IsGranted() bool { return p.number > 0 }

// Outcome is what became of a permit.
type Outcome uint8

// The outcomes.
const (
	// Unused is a permit that was not used.
	Unused Outcome = iota + 1
	// LimitAdvertised is that the answer named a limit, and NotNamed that it named none.
	LimitAdvertised
	NoLimitAdvertised
)

// PermitReport tells the owner of a limit what became of a permit that it granted.
//
//wire:generate
type PermitReport struct {
	// server is the backend server.
	server Server
	// permit is the one that was granted.
	permit Permit
	// outcome is what became of it.
	outcome Outcome
	// perSecond is the limit that the answer named.
	perSecond float64
}
