// ================================================================
// What a backend server says of itself with its heartbeats, and the table of
// the newest word of each.
//
// Registrations are soft state: no quorum agrees on them, they are relearnt
// from the next heartbeat. Every control node keeps those that it hears, and
// followers merge the words of all nodes by incarnation and sequence.
// ================================================================

// Package registry keeps the registrations of backend servers.
package registry

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import "time"

// State is where a backend server stands in its life.
type State string

// The states.
const (
	// Ready takes new requests.
	Ready State = "ready"
	// Silent has missed heartbeats; it may still work.
	Silent State = "silent"
	// Draining ends what it has and takes nothing new.
	Draining State = "draining"
	// Gone has left; its incarnation never comes back.
	Gone State = "gone"
)

// leaving tells whether no word of a later sequence makes it ready again.
func (s State) leaving() bool { return s == Draining || s == Gone }

// Registration is the newest word of one incarnation of a backend server.
//
//wire:generate
type Registration struct {
	// incarnation is the identity of this start of the backend server.
	incarnation string
	// service is the service that it belongs to.
	service string
	// address is where it takes requests, IP:PORT.
	address string
	// domain is its failure domain.
	domain string
	// software is the version of its program.
	software string
	// slots is how many requests it works on at one time.
	slots int
	// state is where it stands in its life.
	state State
	// cold is how much longer it is slow from its start.
	cold time.Duration
	// holdings are the weights that it serves.
	holdings []Holding
	// sequence rises with each word of the incarnation.
	sequence uint64
}

// Holding is a range of layers of one version of a model.
//
//wire:generate
type Holding struct {
	// model is the model's name.
	model string
	// version is the version of its weights.
	version uint64
	// from and to are the layers, to exclusive.
	from int
	to   int
}

// Version returns the one version of a model that covers all layers, or 0.
// A layers value of 0 means that the number of layers is not known; any
// holding counts then.
func (r Registration) Version(model string, layers int) uint64 {
	covered := 0
	var version uint64
	for _, h := range r.holdings {
		if h.model != model {
			continue
		}
		if version != 0 && h.version != version {
			return 0
		}
		version = h.version
		covered += h.to - h.from
	}
	if layers > 0 && covered < layers {
		return 0
	}
	return version
}

// sameWord tells whether followers would learn nothing new from o.
func (r Registration) sameWord(o Registration) bool {
	if r.service != o.service || r.address != o.address || r.domain != o.domain ||
		r.slots != o.slots || r.state != o.state || len(r.holdings) != len(o.holdings) {
		return false
	}
	for i := range r.holdings {
		if r.holdings[i] != o.holdings[i] {
			return false
		}
	}
	return (r.cold > 0) == (o.cold > 0)
}
