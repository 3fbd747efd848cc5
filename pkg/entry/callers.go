// ================================================================
// The HTTP API for callers. Connections, headers, bodies and deadlines are bounded.
//
//	POST /v1/chat/completions       a request to a model
//	ANY  /services/{service}/*      a call to a plain service
//	GET  /healthz, /readyz          for the load balancer
//
//	X-Tidepost-Organisation: larder      the calling organisation; required
//	X-Tidepost-Deadline: 20s             a timeout, or an RFC 3339 time
//	Idempotency-Key: order-4711          requests with the same key run once
//	X-Tidepost-Repeatable: false         the request must not run twice, whatever the
//	                                     service's configuration allows
//	X-Tidepost-Priority: 5               passed on to the engine
// ================================================================

package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/net/netutil"

	"github.com/tidepost/tidepost/pkg/admission"
	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// Request headers that callers set.
const (
	HeaderOrganisation   = "X-Tidepost-Organisation"
	HeaderDeadline       = "X-Tidepost-Deadline"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRepeatable     = "X-Tidepost-Repeatable"
	HeaderPriority       = "X-Tidepost-Priority"
	// HeaderRan is a response header that reports whether the request ran.
	HeaderRan = "X-Tidepost-Ran"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxKeyLength      = 256 // of an idempotency key, in bytes
)

func (e *Entry) serveCallers(ctx context.Context) error {
	l, err := e.process.Listen(e.settings.CallersListen())
	if err != nil {
		return err
	}
	l = netutil.LimitListener(l, e.settings.MaxConnections())
	return daemon.ServeHTTP(ctx, &http.Server{
		Handler:           e.Handler(),
		MaxHeaderBytes:    int(e.settings.MaxHeader()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}, l)
}

// Handler returns the HTTP handler of the callers' API.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(e.closeConnectionsWhenDraining)
	router.Get("/healthz", daemon.Healthy)
	router.Get("/readyz", e.serveReady)
	router.Post("/v1/chat/completions", e.serveChat)
	router.HandleFunc("/services/{service}", e.serveService)
	router.HandleFunc("/services/{service}/*", e.serveService)
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		e.writeError(w, failure.New(failure.BadRequest, "no such path: %s", r.URL.Path))
	})
	return router
}

// closeConnectionsWhenDraining sets "Connection: close" on each response of a draining
// entry. Otherwise a caller that keeps its connection could send a request while the
// process exits.
func (e *Entry) closeConnectionsWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady reports to the load balancer whether to send requests here.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case e.checkReady() != nil:
		http.Error(w, "no confirmed configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// ----------------------------------------------------------------
// Request headers and body

// callHeaders are the parsed headers of a request.
type callHeaders struct {
	organisation admission.Organisation
	deadline     time.Time
	key          string
	repeatable   *bool // nil when the header is absent
	priority     int
}

func (e *Entry) readHeaders(r *http.Request, now time.Time) (callHeaders, error) {
	var c callHeaders
	if err := e.checkReady(); err != nil {
		return c, err
	}
	name := r.Header.Get(HeaderOrganisation)
	spec, ok := e.state.View().Organisation(name)
	if !ok {
		return c, failure.New(failure.UnknownOrganisation, "organisation %q", name)
	}
	c.organisation = admission.Organisation{Name: name, Weight: spec.Weight(), MaxInFlight: int(spec.MaxInFlight())}
	var err error
	if c.deadline, err = e.readDeadline(r.Header.Get(HeaderDeadline), now); err != nil {
		return c, err
	}
	c.key = r.Header.Get(HeaderIdempotencyKey)
	if len(c.key) > maxKeyLength {
		return c, failure.New(failure.TooLarge, "%s of %d bytes; the bound is %d", HeaderIdempotencyKey, len(c.key), maxKeyLength)
	}
	if text := r.Header.Get(HeaderRepeatable); text != "" {
		repeatable, err := strconv.ParseBool(text)
		if err != nil {
			return c, failure.New(failure.BadRequest, "%s %q is not true or false", HeaderRepeatable, text)
		}
		c.repeatable = &repeatable
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		if c.priority, err = strconv.Atoi(text); err != nil {
			return c, failure.New(failure.BadRequest, "%s %q is not a whole number", HeaderPriority, text)
		}
	}
	return c, nil
}

// readDeadline parses a duration from now or an RFC 3339 time. The result is
// capped by the setting requests.max_deadline.
func (e *Entry) readDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return now.Add(e.settings.DefaultDeadline()), nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		remaining, durationErr := time.ParseDuration(text)
		if durationErr != nil {
			return time.Time{}, failure.New(failure.BadRequest, "%s %q is neither a duration nor an RFC 3339 time", HeaderDeadline, text)
		}
		deadline = now.Add(remaining)
	}
	if !deadline.After(now) {
		return time.Time{}, failure.New(failure.DeadlineExceeded, "the deadline %s has passed", text)
	}
	return minTime(deadline, now.Add(e.settings.MaxDeadline())), nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBody()))
	if err == nil {
		return body, nil
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, failure.New(failure.TooLarge, "a body over %d bytes; requests.max_body bounds it", e.settings.MaxBody())
	}
	return nil, failure.New(failure.BadRequest, "the body cannot be read: %v", err)
}

// nextRequestID returns an ID that is unique over all entries and over all
// incarnations of this one.
func (e *Entry) nextRequestID() string {
	return fmt.Sprintf("%s/%d", e.process.Identity, e.requests.Add(1))
}

// ----------------------------------------------------------------
// Responses

// errorBody is the JSON body of an error, in the form that chat-completions APIs
// use, with further fields: remedy, ran and retry_after_seconds.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type       string  `json:"type"`
	Message    string  `json:"message"`
	Remedy     string  `json:"remedy"`
	Ran        string  `json:"ran"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

func newErrorBody(f *failure.Failure) errorBody {
	return errorBody{errorDetail{string(f.Kind()), f.Message(), f.Remedy(), f.Ran().String(), f.RetryAfter().Seconds()}}
}

// writeError responds with an error. No part of the response may have been written.
func (e *Entry) writeError(w http.ResponseWriter, err error) {
	f := failure.Of(err)
	e.metrics.requests.WithLabelValues(string(f.Kind())).Inc()
	e.process.Recorder.Record(event.RequestRefused, string(f.Kind()), f.Message())
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderRan, f.Ran().String())
	if f.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter().Seconds()))))
	}
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(f))
}

// newStreamSink returns a sink that writes and flushes each part of a response to
// the caller as it arrives.
func (e *Entry) newStreamSink(w http.ResponseWriter) *sink {
	controller := http.NewResponseController(w)
	return &sink{write: func(part contract.ResponsePart) error {
		if part.Status() != 0 {
			w.Header().Set("Content-Type", part.ContentType())
			w.Header().Set(HeaderRan, failure.RanYes.String())
			w.WriteHeader(part.Status())
		}
		if len(part.Body()) == 0 {
			return nil
		}
		if _, err := w.Write(part.Body()); err != nil {
			return err
		}
		return controller.Flush()
	}}
}

// finish ends a response. When an error occurs after the status was sent, a streamed
// response gets an error event, and the connection is aborted so that the caller
// does not take a truncated response for a complete one.
func (e *Entry) finish(w http.ResponseWriter, out *sink, streamed bool, err error) {
	if err == nil {
		e.metrics.requests.WithLabelValues("answered").Inc()
		return
	}
	if !out.started {
		e.writeError(w, err)
		return
	}
	f := failure.Of(err)
	e.metrics.requests.WithLabelValues(string(f.Kind())).Inc()
	e.process.Recorder.Record(event.RequestEnded, string(f.Kind()), f.Message())
	if streamed {
		raw, _ := json.Marshal(newErrorBody(f))
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", raw)
	}
	panic(http.ErrAbortHandler)
}
