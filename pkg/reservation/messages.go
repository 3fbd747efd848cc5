// ================================================================
// A gateway reserves a place at an engine with the stager beside it, before it
// sends a request there. The stager alone sees what the engine has at that
// moment, so two gateways never count on the same place, and nobody has to
// guess from loads that are some hundred ms old what all the others will send.
//
//	gateway -> stager   Ask: 787 prompt tokens, first event within 380 ms
//	stager  -> gateway  Answer: granted, first event in about 190 ms; the load
//
// The request itself goes straight to the engine. A reservation that is not used
// is forgotten after a moment; a gateway that hears nothing from a stager falls
// back on its share of the told load.
//
// The idea that whoever has the work asks the server for a place, and the server
// answers from its own queue, is that of late binding: K. Ousterhout et al.,
// "Sparrow: Distributed, Low Latency Scheduling" (2013).
// ================================================================

// Package reservation decides, on an engine's own VM, whether it can begin one
// more request in time, and is how gateways ask.
package reservation

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"time"

	"github.com/tidepost/tidepost/pkg/feed"
)

// Request asks for a place at an engine.
//
//wire:generate
type Request struct {
	// promptTokens is the number of tokens that the engine has to read first; 0 when it
	// is not known.
	promptTokens int
	// firstEventWithin is how soon the first event has to come.
	firstEventWithin time.Duration
	// maxGap is the longest pause between events that callers of the engine bear;
	// 0 is any.
	maxGap time.Duration
}

// Response answers an Ask.
//
//wire:generate
type Response struct {
	// granted says that the request may be sent.
	granted bool
	// firstEventIn is how long the first event is expected to take.
	firstEventIn time.Duration
	// load is the engine's, with what was granted before and has not come yet.
	load feed.Load
}
