package agent

import (
	"net"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/engine"
)

// Guards against an agent that keeps what a service or engine sends without end, in a head or a body.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	answers := rawserver.Merge(rawserver.EndlessHeads(), rawserver.EndlessBodies())
	rawserver.CheckNotKept(t, answers, rawserver.LongLength, 1, func(t *testing.T, l net.Listener) {
		backend := engineAt(l)
		_ = newSender(func(contract.ResponsePart) {}).execute(t.Context(), nil, backend, uploadRequest("order")) // a body is passed on, with or without an end
		if _, err := backend.ReadState(t.Context()); err == nil {
			t.Error("a state without end was accepted")
		}
		if _, err := backend.SendOrder(t.Context(), engine.Order{}); err == nil {
			t.Error("the response to an order, without end, was accepted")
		}
	})
}
