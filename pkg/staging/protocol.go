// ================================================================
// The interface between the stager and the protocols of the engine and the weights origin.
// ================================================================

// Package staging brings copies of model weights to the engine of its VM. It fetches chunks from
// the origin and from other members, writes them to the engine's staging area, verifies them, and
// orders the engine to serve them.
package staging

import (
	"context"

	"github.com/tidepost/tidepost/pkg/registry"
)

// Report is the state that the engine reports.
type Report struct {
	// Holdings are the layers that the engine serves.
	Holdings []registry.Holding
	// Busy is true while the engine carries out an order.
	Busy bool
	// Sequence is the number of orders that the engine has taken.
	Sequence uint64
	// StartedAt is when the engine started, in Unix milliseconds; 0 if the engine does not report it.
	StartedAt uint64
	// Running and Queued are the engine's numbers of requests.
	Running, Queued int
	// StepTimeRatio is the present time of a step divided by the usual one; 0 if not known.
	StepTimeRatio float64
}

// Manifest lists the digests of a version's chunks.
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

// Order orders the engine to serve the weights in its staging area.
type Order struct {
	// Model and Version identify the staged weights.
	Model   string
	Version uint64
	// Sequence is the number of orders that the engine must have taken so far.
	Sequence uint64
	// Fence is the order's fencing token. Engines that check it refuse a token lower than one they
	// have seen, with StaleOrder.
	Fence uint64
	// Interrupts is true if the engine must interrupt its running requests. Otherwise it completes
	// them first.
	Interrupts bool
	// Partial is true if the engine must hold only the first Layers layers of the model, which may be
	// none; it drops any others and loads those that it does not hold. Otherwise it must hold all.
	Partial bool
	Layers  int
}

// Protocol is the protocol of the engine and the origin. All addresses are IP:PORT.
type Protocol struct {
	// Name is the protocol's name in settings.
	Name string
	// ReadReport reads the state of the engine.
	ReadReport func(ctx context.Context, engine string) (Report, error)
	// PutChunk writes a chunk to the engine's staging area and replaces an existing one.
	PutChunk func(ctx context.Context, engine, model string, number int, data []byte) error
	// GetChunk reads a chunk from the staging area; it fails with UnknownObject if there is none.
	GetChunk func(ctx context.Context, engine, model string, number int) ([]byte, error)
	// SendOrder sends the order. The engine may complete other work first.
	SendOrder func(ctx context.Context, engine string, o Order) error
	// FetchManifest fetches the manifest of a version from the origin.
	FetchManifest func(ctx context.Context, origin, model string, version uint64) (Manifest, error)
	// FetchChunk fetches a chunk from the origin.
	FetchChunk func(ctx context.Context, origin, model string, version uint64, number int) ([]byte, error)
}

// ProtocolName returns the protocol's name.
func (p Protocol) ProtocolName() string { return p.Name }
