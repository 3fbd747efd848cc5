// ================================================================
// Calls to plain services: /services/ordering/orders?x=1 goes to a backend
// server that fronts "ordering", as /orders?x=1.
// ================================================================

package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c, err := e.readCaller(r, now)
	if err != nil {
		e.refuse(w, err)
		return
	}
	name := chi.URLParam(r, "service")
	spec, ok := e.state.View().Service(name)
	if !ok {
		e.refuse(w, failure.New(failure.UnknownService, "service %q", name))
		return
	}
	body, err := e.readBody(w, r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	ticket, err := e.admission.Admit(c.organisation, c.deadline, now)
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer func() { ticket.Release(time.Now()) }()
	repeatable := spec.Repeatable()
	if c.repeatable != nil {
		repeatable = *c.repeatable
	}
	request := contract.NewRequest(e.nextAttempt(), c.organisation.Name, "", contract.Digest{}, name,
		r.Method, servicePath(r, name), r.Header.Get("Content-Type"), body, c.deadline.UnixNano(), false, repeatable, c.priority)
	e.serveWork(w, r, &work{request: request}, c)
}

// servicePath is the path and query that the service sees.
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
