package control

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/daemon"
)

// A call whose handler panics is answered with an error, so that the operator does not wait.
func TestPanicInHandlerIsAnswered(t *testing.T) {
	server := httptest.NewUnstartedServer(Handle(0, func(*http.Request, []byte) (any, error) { panic("seeded") }))
	server.Config.ErrorLog = daemon.HTTPLog(log.NewNopLogger())
	server.Start()
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusInternalServerError || err != nil || len(body) == 0 {
		t.Errorf("%d %q %v", response.StatusCode, body, err)
	}
}
