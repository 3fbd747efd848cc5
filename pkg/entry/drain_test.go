package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// A draining entry sends "Connection: close" on each response. Without it, callers with
// persistent connections sent their next request while the process exited.
func TestDrainingEntryClosesConnections(t *testing.T) {
	e := testEntry(t, "http://127.0.0.1:1")
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	for _, draining := range []bool{false, true} {
		e.draining.Store(draining)
		response, err := http.Get(server.URL + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.Close != draining {
			t.Errorf("draining %t: response closes the connection: %t", draining, response.Close)
		}
	}
}
