// ================================================================
// Registrations: what backend servers report with their heartbeats.
//
// Registrations are soft state: they are not replicated through a quorum, but learned again from
// the next heartbeat. Every control node keeps those that it receives, and followers merge the
// registrations of all nodes by incarnation, start time and sequence.
// ================================================================

// Package registry keeps the registrations of backend servers.
package registry

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"net/netip"
	"time"

	"github.com/tidepost/tidepost/pkg/failure"
)

// State is the lifecycle state of a backend server.
type State string

// The lifecycle states of a backend server.
const (
	// Ready accepts new requests.
	Ready State = "ready"
	// Silent has missed heartbeats; it may still work.
	Silent State = "silent"
	// Draining completes its requests and accepts no new ones.
	Draining State = "draining"
	// Gone has left; its incarnation is valid again only after another start.
	Gone State = "gone"
)

// Leaves reports whether a backend server in this state takes no further requests for good.
func (s State) Leaves() bool { return s == Draining || s == Gone }

// Registration is the latest report of one incarnation of a backend server.
//
//wire:generate
type Registration struct {
	// incarnation identifies the backend server.
	incarnation string
	// service is the service that it belongs to.
	service string
	// address is where it accepts requests, IP:PORT.
	address string
	// domain is its failure domain.
	domain string
	// software is the version of its program.
	software string
	// slots is the number of requests that it runs concurrently.
	slots int
	// state is its lifecycle state.
	state State
	// warmupLeft is for how much longer it warms up and accepts only a low rate of requests.
	warmupLeft time.Duration
	// holdings are the weights that it serves.
	holdings []Holding
	// sequence increases with each report of one start.
	sequence uint64
	// startedAt is when the backend server started, in Unix milliseconds; 0 if it does not report
	// it. A server that restarts may keep its incarnation, and then restarts its sequence without
	// holdings. In a registration with state Gone it is the latest start that the deregistration
	// may refer to.
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
	// from is the first layer.
	from int
	// to is the layer after the last one.
	to int
}

// maxSlots bounds the slots that a backend server may report: about a hundred times what any server
// has.
const maxSlots = 1 << 14

// Validate returns an error if the registration is malformed. Another program may write such
// entries, which must not be used as backend servers.
func (r Registration) Validate() error {
	address, err := netip.ParseAddrPort(r.address)
	switch {
	case r.incarnation == "" || r.service == "":
		return failure.New(failure.BadRequest, "incarnation %q, service %q: both are required", r.incarnation, r.service)
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified():
		return failure.New(failure.BadRequest, "address %q is not IP:PORT", r.address)
	case r.slots < 1 || r.slots > maxSlots:
		return failure.New(failure.BadRequest, "slots %d: must be from 1 to %d", r.slots, maxSlots)
	}
	return nil
}

// AsGone returns the registration with state Gone, for all starts up to the given time or its own
// start, whichever is later.
func (r Registration) AsGone(startedAt uint64) Registration {
	r.state = Gone
	r.startedAt = max(r.startedAt, startedAt)
	return r
}

// Supersedes reports whether r may replace an earlier registration of its incarnation: it is of a
// later start, or of the same start and not older. Gone is final for a start. Registrations from
// other nodes arrive in any order, and a partition can delay them until after those of a later
// start.
func (r Registration) Supersedes(old Registration) bool {
	switch {
	case r.state == Gone && old.state == Gone:
		// Nodes send these to each other repeatedly: a known one must not restart the time since it
		// was received.
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

// Version returns the version of a model if all holdings have the same one and cover all layers,
// else 0. If layers is 0, the number of layers is not known, and any holding is enough.
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

// agedBy returns the registration as of a later time: the warm-up has proceeded.
func (r Registration) agedBy(d time.Duration) Registration {
	r.warmupLeft = max(r.warmupLeft-d, 0)
	return r
}

// minWarmupChange is the least change of the end of a warm-up that followers are told. Heartbeats that
// arrive with varying delays shift it by less.
const minWarmupChange = 250 * time.Millisecond

// hasSameContent reports whether followers would learn nothing new from o, which is as of the same time.
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
	return (r.warmupLeft > 0) == (o.warmupLeft > 0) && (r.warmupLeft-o.warmupLeft).Abs() < minWarmupChange
}
