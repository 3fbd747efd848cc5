package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Callers that keep their connections to an entry that drains are told on each answer that
// it closes. They were not, and sent their next request as the entry went.
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
			t.Errorf("draining %t: told that the connection closes: %t", draining, response.Close)
		}
	}
}
