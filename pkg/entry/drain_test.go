package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Callers that keep their connections to an entry that drains are told on each answer that
// it closes. They were not, and sent their next request as the entry went.
func TestEntryThatDrainsTellsItsCallers(t *testing.T) {
	e := testEntry(t, "http://127.0.0.1:1")
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	for _, draining := range []bool{false, true} {
		e.draining.Store(draining)
		answer, err := http.Get(server.URL + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		_ = answer.Body.Close()
		if answer.Close != draining {
			t.Errorf("draining %t: told that the connection closes: %t", draining, answer.Close)
		}
	}
}
