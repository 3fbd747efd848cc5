package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// A caller takes 408, 421, 429 and 503 as the promise that its request has not run and never will. A server
// that answers so after it has run a request, without saying that it has not, must not make the gateway
// promise that; a server that says so must.
func TestOnlyProvenRefusalsPromiseNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusInternalServerError} {
		for _, kind := range []serviceconfig.Kind{serviceconfig.Once, serviceconfig.Repeatable} {
			first := newFakeBackend(t, "s-1", respondWith(fmt.Sprint(status, " ", http.StatusText(status)), "failed"))
			second := newFakeBackend(t, "s-2", respondWith("200 OK", "second"))
			f := newFixture(t, kind, false, first, second)
			got, _, _, _ := f.do(t, f.request(t, http.MethodPost, "id", "body"))
			ran := len(first.requests()) + len(second.requests())
			switch {
			case kind == serviceconfig.Repeatable && got >= http.StatusInternalServerError:
				t.Errorf("repeatable, %d: status %d after %d attempts", status, got, ran)
			case kind == serviceconfig.Once && ran != 1:
				t.Errorf("once, %d: %d attempts", status, ran)
			case kind == serviceconfig.Once && status != http.StatusInternalServerError && got != http.StatusBadGateway:
				t.Errorf("once, %d: status %d", status, got)
			}
		}
	}
}
