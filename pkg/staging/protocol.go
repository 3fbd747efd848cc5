// ================================================================
// The seam between the stager and what the engine on its VM and the origin of
// weights speak.
// ================================================================

// Package staging brings copies of model weights to the engine of its VM: it
// draws chunks from the origin and from other stagers, lays them down beside
// the engine, checks them, and orders the engine to serve them.
package staging

import (
	"context"

	"github.com/tidepost/tidepost/pkg/registry"
)

// Report is what the engine says of itself.
type Report struct {
	// Holdings are the layers that it serves.
	Holdings []registry.Holding
	// Busy says that an order is under way.
	Busy bool
	// Sequence is the number of orders that it has taken.
	Sequence uint64
	// Started is when it started, in Unix milliseconds; 0 when it does not say.
	Started uint64
	// Running and Queued count its requests.
	Running, Queued int
	// Pace is its time for a step over the usual one; 0 when not known.
	Pace float64
}

// Manifest names the chunks of a version by digest.
//
//wire:generate
type Manifest struct {
	// model is the model's name.
	model string
	// version is the version of the weights.
	version uint64
	// digests are the SHA-256 of the chunks, in hex, in order.
	digests []string
}

// Order tells the engine to serve what was laid down.
type Order struct {
	// Model and Version are what lies there.
	Model   string
	Version uint64
	// Sequence is the number of orders that the engine must have taken so far.
	Sequence uint64
	// Fence is the order's fencing token: where engines look at it, they refuse one
	// that is lower than another that they have seen, with StaleOrder.
	Fence uint64
	// Interrupts says that the engine cuts what runs; else it ends that first.
	Interrupts bool
}

// Protocol is what the engine and the origin speak. All addresses are IP:PORT.
type Protocol struct {
	// Name is how settings name it.
	Name string
	// ReadReport asks the engine for its state.
	ReadReport func(ctx context.Context, engine string) (Report, error)
	// Put lays a chunk down beside the engine, over the one that lies there.
	Put func(ctx context.Context, engine, model string, number int, data []byte) error
	// Get reads a chunk back; it fails with UnknownObject when none lies there.
	Get func(ctx context.Context, engine, model string, number int) ([]byte, error)
	// SendOrder gives the order. The engine may go on with other work first.
	SendOrder func(ctx context.Context, engine string, o Order) error
	// FetchManifest asks the origin for the digests of a version.
	FetchManifest func(ctx context.Context, origin, model string, version uint64) (Manifest, error)
	// FetchChunk asks the origin for a chunk.
	FetchChunk func(ctx context.Context, origin, model string, version uint64, number int) ([]byte, error)
}

// Called returns the protocol's name.
func (p Protocol) Called() string { return p.Name }
