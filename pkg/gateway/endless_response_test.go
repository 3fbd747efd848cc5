package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// Guards against a gateway that keeps what backend servers send without end, in a head or a body: it runs out of memory,
// and the requests of its other callers end with it.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	const requests, sentByEach = 20, 32 << 20
	streams := map[string]rawserver.Endless{
		"event":   {Begin: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", Repeated: "x"},
		"events":  {Begin: "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", Repeated: "data: x\n\n"},
		"refusal": {Begin: "HTTP/1.1 503 Service Unavailable\r\n" + headerNotRun + ": 1\r\n\r\n", Repeated: "x"},
	}
	answers := rawserver.Merge(rawserver.EndlessHeads(), rawserver.EndlessBodies(), streams)
	rawserver.CheckNotKept(t, answers, sentByEach, requests, func(t *testing.T, l net.Listener) {
		f := newFixture(t, serviceconfig.Repeatable, false, &fakeBackend{incarnation: "i-1", listener: l})
		var wait sync.WaitGroup
		for range requests {
			wait.Go(func() { f.discard(t) })
		}
		wait.Wait()
	})
}

// discard sends a request and reads the response without keeping it.
func (f *fixture) discard(t *testing.T) {
	response, err := http.DefaultTransport.RoundTrip(f.request(t, http.MethodPost, "a", "order"))
	if err != nil {
		t.Error(err)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // a response without end may be cut
}
