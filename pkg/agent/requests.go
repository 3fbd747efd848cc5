// ================================================================
// Serves requests: admits them, sends them to the engine or a plain service, and sends
// the response back in parts.
// ================================================================

package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/engine"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
	"github.com/tidepost/tidepost/pkg/link"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// maxResponsePart is the largest part of a response that one message carries, in bytes.
	maxResponsePart = 32 << 10
	// streamEndEvent is the last event of a complete streamed response.
	streamEndEvent = "data: [DONE]"
	// streamTailSize is how many bytes at the end of a stream are searched for
	// streamEndEvent.
	streamTailSize = 64
)

func (a *Agent) serveRequest(ctx context.Context, s *link.Stream) error {
	var r contract.Request
	if err := s.Receive(&r); err != nil {
		return failure.Of(err).WithRan(failure.NotRun)
	}
	backend, release, err := a.admit(r)
	if err != nil {
		a.metrics.requests.WithLabelValues(string(failure.Of(err).Kind())).Inc()
		return err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, r.DeadlineTime())
	defer cancel()
	if r.Repeatable() {
		// The request is canceled when the caller disconnects, to free the engine. A
		// request that may not be repeated runs to its end, so that its outcome is known.
		s.OnPeerClosed(cancel)
	}
	err = a.execute(ctx, s, backend, r)
	result := "answered"
	if err != nil {
		result = string(failure.Of(err).Kind())
	}
	a.metrics.requests.WithLabelValues(result).Inc()
	return err
}

// admit performs all checks and returns the backend server and a function that releases
// the request. Nothing has been sent to a backend server when it fails.
func (a *Agent) admit(r contract.Request) (*engine.Engine, func(), error) {
	backend, pinned, err := a.findBackend(r)
	if err != nil {
		return nil, nil, err
	}
	if err := a.admission.admit(r, wallClock()); err != nil {
		if pinned {
			a.copies.unpin(r.Digest())
		}
		return nil, nil, err
	}
	release := func() {
		a.admission.release()
		if pinned {
			a.copies.unpin(r.Digest())
		}
	}
	return backend, release, nil
}

// findBackend returns the service, or the engine if the digest that the request is
// pinned to is ready. In the second case it pins the copy and returns true.
func (a *Agent) findBackend(r contract.Request) (*engine.Engine, bool, error) {
	if r.Service() != "" {
		backend := a.services[r.Service()]
		if backend == nil {
			return nil, false, failure.New(failure.UnknownService, "service %q is not on this VM", r.Service())
		}
		return backend, false, nil
	}
	if a.engine == nil || !a.copies.pin(r.Digest()) {
		return nil, false, failure.New(failure.WrongVersion, "%s is not ready on this VM", r.Digest().Short())
	}
	return a.engine, true, nil
}

// execute sends the request to the backend server and the response to the caller.
func (a *Agent) execute(ctx context.Context, s *link.Stream, backend *engine.Engine, r contract.Request) error {
	response, err := backend.SendRequest(ctx, r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := checkDigest(r, response.Header); err != nil {
		return err
	}
	return a.forwardResponse(ctx, s, backend, r, response)
}

// checkDigest returns an error for a response of another version than requested.
func checkDigest(r contract.Request, h http.Header) error {
	if r.Model() == "" {
		return nil
	}
	servedDigest := h.Get(engine.DigestHeader)
	return invariant.Check(servedDigest == "" || servedDigest == r.Digest().String(), "answer_of_other_version",
		"attempt %s is pinned to digest %s, received a response of digest %s", r.Attempt(), r.Digest(), servedDigest)
}

// forwardResponse sends the response in numbered parts. The last part marks the response
// as complete; a streamed response is complete only if it ends with streamEndEvent, and another one that
// ends with its connection only if the backend server still runs.
func (a *Agent) forwardResponse(ctx context.Context, s *link.Stream, backend *engine.Engine, r contract.Request, response *http.Response) error {
	sequence := uint64(0)
	send := func(status int, contentType string, body []byte, end bool) error {
		part := contract.NewResponsePart(r.Attempt(), sequence, status, contentType, body, end, nil, r.Digest())
		sequence++
		return a.hooks.SendResponsePart(func(p contract.ResponsePart) error { return s.Send(p) }, part)
	}
	if err := send(response.StatusCode, response.Header.Get("Content-Type"), nil, false); err != nil {
		return err
	}
	var tail []byte
	buffer := make([]byte, maxResponsePart)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			tail = appendTail(tail, buffer[:n])
			if sendErr := send(0, "", buffer[:n], false); sendErr != nil {
				return sendErr
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return failure.New(failure.BackendFailed, "reading the response failed: %v", err).WithRan(failure.RanUnknown)
		}
	}
	streamed := r.Stream() && response.StatusCode == http.StatusOK
	if streamed && !bytes.Contains(tail, []byte(streamEndEvent)) {
		return failure.New(failure.BackendFailed, "the stream ended without its closing event").WithRan(failure.RanUnknown)
	}
	if !streamed && upstream.FramingOf(response) == upstream.FramedByClose {
		if err := backend.Ping(ctx); err != nil {
			return failure.New(failure.BackendFailed, "the response ended with its connection: %v", err).WithRan(failure.RanUnknown)
		}
	}
	return send(0, "", nil, true)
}

func appendTail(tail, data []byte) []byte {
	tail = append(tail, data...)
	return append([]byte(nil), tail[max(0, len(tail)-streamTailSize):]...)
}
