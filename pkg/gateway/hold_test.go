package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// Found in a review, by reading: an attempt handed its connection back before it ended,
// and its watchdog or its caller's leaving could break it under the next request.
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
		answer, err := h.Exchange(t.Context(), upstream.Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := upstream.ReadAll(answer.Body, 100); err != nil {
			t.Fatal(err)
		}
		return h, answer
	}
	first, answer := use()
	first.Finish(answer)
	second, answer := use()
	if second.Connection != first.Connection {
		t.Fatal("the connection was not kept")
	}
	first.Abort()
	second.Finish(answer)
	if third, _ := use(); third.Connection != first.Connection {
		t.Fatal("the connection of the second was broken by the first")
	}
}
