// ================================================================
// Reservation messages. Before a gateway sends a request to an engine, it reserves a slot
// with the stager on the engine's VM. Only the stager sees the engine's current load, so
// two gateways never count on the same slot, and no gateway has to estimate from loads
// that are several hundred ms old what the others will send.
//
//	gateway -> stager   Request: 787 prompt tokens, first event within 380 ms, long prompts 3300
//	stager  -> gateway  Response: granted, first event in about 190 ms; the load
//
// The client's request goes directly to the engine. An unused reservation expires when its
// forecast start has passed. A gateway that gets no response from a stager uses its share
// of the load that the stager last reported.
//
// Reserving at the server, which decides from its own queue, is late binding:
// K. Ousterhout et al., "Sparrow: Distributed, Low Latency Scheduling" (2013).
// ================================================================

// Package reservation decides, on an engine's own VM, whether the engine can start one
// more request in time, and defines the messages by which gateways reserve slots.
package reservation

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// Request asks for a slot of an engine.
//
//wire:generate
type Request struct {
	// promptTokens is the number of tokens to prefill; 0 if unknown.
	promptTokens int
	// maxTimeToFirstEvent bounds the time until the first event.
	maxTimeToFirstEvent time.Duration
	// maxGap bounds the gap between events of the engine's running requests; 0 means no
	// bound.
	maxGap time.Duration
	// longPrompt is the length of long prompts among the requests that compete with this one; 0 if
	// unknown. All of them are admitted at the same backlog, at which a long one still starts in time.
	longPrompt int
}

// Response grants or refuses a Request.
//
//wire:generate
type Response struct {
	// granted is whether the client's request may be sent.
	granted bool
	// timeToFirstEvent is the expected time until the first event.
	timeToFirstEvent time.Duration
	// load is the engine's load, including the requests that were granted and have not
	// started.
	load feed.Load
}
