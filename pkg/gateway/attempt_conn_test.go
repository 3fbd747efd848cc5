package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// An attempt returns its connection to the pool before it ends. Its watchdog or its caller's
// disconnect must not abort the connection under the next request.
func TestReleasedConnectionIsNotAborted(t *testing.T) {
	s := newFakeBackend(t, "i-1", respondWith("200 OK", "whole"))
	pool := newFixture(t, serviceconfig.Repeatable, false, s).backend("i-1").pool
	use := func() (*attemptConn, *http.Response) {
		t.Helper()
		conn, err := pool.Get(t.Context(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		h := &attemptConn{Connection: conn}
		response, err := h.Exchange(t.Context(), upstream.Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := upstream.ReadAll(response.Body, 100); err != nil {
			t.Fatal(err)
		}
		return h, response
	}
	first, response := use()
	first.Finish(response)
	second, response := use()
	if second.Connection != first.Connection {
		t.Fatal("the pool did not keep the connection")
	}
	first.Abort()
	second.Finish(response)
	if third, _ := use(); third.Connection != first.Connection {
		t.Fatal("the first attempt aborted the connection of the second")
	}
}
