package agent

import (
	"context"
	"net"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/engine"
)

// newSender returns an agent that only executes requests, and hands each part of a response to send.
func newSender(send func(contract.ResponsePart)) *Agent {
	return &Agent{hooks: Hooks{SendResponsePart: func(_ func(contract.ResponsePart) error, p contract.ResponsePart) error {
		send(p)
		return nil
	}}}
}

// sendParts has an agent execute a request, and returns the parts of the response that it sent.
func sendParts(backend *engine.Engine, r contract.Request) (parts []contract.ResponsePart, err error) {
	a := newSender(func(p contract.ResponsePart) { parts = append(parts, p) })
	err = a.execute(context.Background(), nil, backend, r)
	return parts, err
}

// isMarkedComplete has an agent execute a request, and reports whether it marked the response as complete.
func isMarkedComplete(backend *engine.Engine, r contract.Request) (complete bool, err error) {
	parts, err := sendParts(backend, r)
	for _, p := range parts {
		complete = complete || p.End()
	}
	return complete, err
}

// engineAt returns the engine or service at a listener.
func engineAt(l net.Listener) *engine.Engine { return engine.NewHTTP("http://" + l.Addr().String()) }
