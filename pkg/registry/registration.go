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

import (
	"net/netip"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

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
	// Gone has left; its incarnation comes back only by another start.
	Gone State = "gone"
)

// Registration is the newest word of one incarnation of a backend server.
//
//wire:generate
type Registration struct {
	// incarnation is the identity of the backend server.
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
	// warmupLeft is how much longer it is slow from its start.
	warmupLeft time.Duration
	// holdings are the weights that it serves.
	holdings []Holding
	// sequence rises with each word of one start.
	sequence uint64
	// startedAt is when the backend server started, in Unix milliseconds; 0 when it does not
	// say. One that starts again may keep its incarnation, and counts and holds anew. In a
	// word that one is gone it is the latest start that the word may be of.
	startedAt uint64
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

// maxSlots bounds what a backend server may say of its places: some hundred times what any
// has.
const maxSlots = 1 << 14

// Validate tells what is odd about what a backend server says of itself. Another program may
// write entries of its own, and what those name is no backend server to use.
func (r Registration) Validate() error {
	address, err := netip.ParseAddrPort(r.address)
	switch {
	case r.incarnation == "" || r.service == "":
		return failure.New(failure.BadRequest, "incarnation %q, service %q: neither may be missing", r.incarnation, r.service)
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return failure.New(failure.BadRequest, "address %q is not IP:PORT", r.address)
	case r.slots < 1 || r.slots > maxSlots:
		return failure.New(failure.BadRequest, "slots %d are not from 1 to %d", r.slots, maxSlots)
	}
	return nil
}

// AsGone returns the word that the backend server has left, with all its starts up to one
// at the earliest.
func (r Registration) AsGone(born uint64) Registration {
	r.state = Gone
	r.startedAt = max(r.startedAt, born)
	return r
}

// Supersedes tells whether a word may take the place of an earlier one of its incarnation:
// it is of a later start, or of the same and not older. Leaving is final for a start. Words
// of followers come in any order, and those that a cut held up after those of a later
// start.
func (r Registration) Supersedes(old Registration) bool {
	switch {
	case r.state == Gone && old.state == Gone:
		// Nodes tell each other again: what is known by then must not seem heard of anew.
		return r.startedAt > old.startedAt
	case r.state == Gone:
		return r.startedAt == 0 || r.startedAt >= old.startedAt
	case r.startedAt != old.startedAt:
		return r.startedAt > old.startedAt
	case r.sequence < old.sequence:
		return false
	}
	return old.state != Gone && (r.state == Draining || old.state != Draining)
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

// hasSameContent tells whether followers would learn nothing new from o.
func (r Registration) hasSameContent(o Registration) bool {
	if r.startedAt != o.startedAt || r.service != o.service || r.address != o.address || r.domain != o.domain ||
		r.slots != o.slots || r.state != o.state || len(r.holdings) != len(o.holdings) {
		return false
	}
	for i := range r.holdings {
		if r.holdings[i] != o.holdings[i] {
			return false
		}
	}
	return (r.warmupLeft > 0) == (o.warmupLeft > 0)
}
