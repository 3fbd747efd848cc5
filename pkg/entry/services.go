// ================================================================
// Calls to plain services: /services/ordering/orders?x=1 is sent as /orders?x=1 to a
// backend server that runs the service "ordering".
// ================================================================

package entry

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	e.serveCall(w, r, func(c callHeaders, body []byte) (*pendingRequest, error) {
		name := chi.URLParam(r, "service")
		spec, ok := e.state.View().Service(name)
		if !ok {
			return nil, failure.New(failure.UnknownService, "service %q", name)
		}
		// A caller can forbid retries that the configuration allows, but not the
		// reverse: a header set by mistake must not execute an order twice.
		repeatable := spec.Repeatable() && (c.repeatable == nil || *c.repeatable)
		request := contract.NewRequest(e.nextRequestID(), c.organisation.Name, "", contract.Digest{}, name,
			r.Method, servicePath(r, name), r.Header.Get("Content-Type"), body, c.deadline.UnixNano(), false, repeatable, c.priority)
		return &pendingRequest{request: request}, nil
	})
}

// servicePath returns the path and query that the service receives.
func servicePath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
