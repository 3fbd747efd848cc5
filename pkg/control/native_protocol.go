// ================================================================
// The native protocol of the control node, JSON over HTTP:
//
//	PUT    /v1/configuration            set the configuration (docs/OPERATIONS.md shows the document)
//	GET    /v1/configuration            read the newest configuration, confirmed by a quorum
//	PUT    /v1/weights/MODEL/VERSION    name a version
//	PUT    /v1/backends/INCARNATION     heartbeat of a backend server
//	DELETE /v1/backends/INCARNATION     deregister a backend server
//	PUT    /v1/evacuations/DOMAIN       evacuate a failure domain
//	DELETE /v1/evacuations/DOMAIN       end its evacuation
//	GET    /v1/evacuations              list the evacuated failure domains that this node knows
// ================================================================

package control

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/registry"
	"github.com/tidepost/tidepost/pkg/serviceconfig"
)

// maxHeartbeatBody is the maximum size in bytes of the body of a heartbeat, and of the calls that
// need no body.
const maxHeartbeatBody = 64 << 10

// NativeProtocol returns the native protocol of the control node, whose name in settings is "own".
func NativeProtocol() Protocol { return Protocol{Name: "own", Mount: mountNative} }

func mountNative(r chi.Router, s *Service) {
	r.Put("/v1/configuration", Handle(MaxDocument, func(r *http.Request, body []byte) (any, error) {
		d, err := serviceconfig.ParseJSON(body)
		if err != nil {
			return nil, err
		}
		return nil, s.PutConfiguration(r.Context(), NewConfiguration(d, body))
	}))
	r.Get("/v1/configuration", Handle(0, func(r *http.Request, _ []byte) (any, error) {
		c, err := s.ReadConfiguration(r.Context())
		return json.RawMessage(c.Raw()), err
	}))
	r.Put("/v1/weights/{model}/{version}", Handle(maxHeartbeatBody, func(r *http.Request, _ []byte) (any, error) {
		version, err := strconv.ParseUint(chi.URLParam(r, "version"), 10, 64)
		if err != nil {
			return nil, failure.New(failure.BadRequest, "version: %v", err)
		}
		return nil, s.NameVersion(r.Context(), chi.URLParam(r, "model"), version)
	}))
	r.Put("/v1/backends/{incarnation}", Handle(maxHeartbeatBody, func(r *http.Request, body []byte) (any, error) {
		registration, err := parseHeartbeat(chi.URLParam(r, "incarnation"), body)
		if err != nil {
			return nil, err
		}
		return nil, s.ReceiveHeartbeat(registration)
	}))
	r.Delete("/v1/backends/{incarnation}", Handle(maxHeartbeatBody, func(r *http.Request, _ []byte) (any, error) {
		return nil, s.Deregister(chi.URLParam(r, "incarnation"))
	}))
	r.Put("/v1/evacuations/{domain}", HandleEvacuation(s, "domain", true))
	r.Delete("/v1/evacuations/{domain}", HandleEvacuation(s, "domain", false))
	r.Get("/v1/evacuations", Handle(0, func(*http.Request, []byte) (any, error) { return s.EvacuatedDomains(), nil }))
}

// HandleEvacuation returns an HTTP handler that evacuates the failure domain in a path parameter, or ends
// its evacuation. It refuses a body, which could only name something that is not obeyed.
func HandleEvacuation(s *Service, parameter string, evacuated bool) http.HandlerFunc {
	return Handle(maxHeartbeatBody, func(r *http.Request, body []byte) (any, error) {
		if len(bytes.TrimSpace(body)) > 0 {
			return nil, failure.New(failure.BadRequest, "an evacuation takes no body, and this one has %d bytes", len(body))
		}
		domain, err := url.PathUnescape(chi.URLParam(r, parameter))
		if err != nil {
			return nil, failure.New(failure.BadRequest, "failure domain: %v", err)
		}
		return nil, s.SetEvacuated(r.Context(), domain, evacuated)
	})
}

// heartbeatBody is the JSON body of a heartbeat.
type heartbeatBody struct {
	Service       string        `json:"service"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Software      string        `json:"software"`
	Slots         int           `json:"slots"`
	State         string        `json:"state"`
	Holdings      []holdingBody `json:"holdings"`
	Sequence      uint64        `json:"sequence"`
	Born          uint64        `json:"born"`
}

// holdingBody is a version of a model's weights, and the range of layers, that a backend server
// holds.
type holdingBody struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	From    int    `json:"from"`
	To      int    `json:"to"`
}

// parseHeartbeat returns the registration that a heartbeat describes.
func parseHeartbeat(incarnation string, body []byte) (registry.Registration, error) {
	var w heartbeatBody
	if err := json.Unmarshal(body, &w); err != nil {
		return registry.Registration{}, failure.New(failure.BadRequest, "heartbeat: %v", err)
	}
	state := registry.State(w.State)
	if state != registry.Ready && state != registry.Draining {
		return registry.Registration{}, failure.New(failure.BadRequest, "heartbeat: unknown state %q", w.State)
	}
	var holdings []registry.Holding
	for _, h := range w.Holdings {
		holdings = append(holdings, registry.NewHolding(h.Model, h.Version, h.From, h.To))
	}
	r := registry.NewRegistration(incarnation, w.Service, w.Address, w.FailureDomain, w.Software, w.Slots, state, 0, holdings, w.Sequence, w.Born)
	return r, r.Validate()
}

// Handle returns an HTTP handler that reads a body of at most maxBody bytes, calls handler, and
// writes the result as JSON, or the failure with its remedy.
func Handle(maxBody int64, handler func(r *http.Request, body []byte) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer recoverPanic(w)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			WriteFailure(w, failure.New(failure.TooLarge, "%v", err))
			return
		}
		result, err := handler(r, body)
		if err != nil {
			WriteFailure(w, err)
			return
		}
		if result == nil {
			result = struct{}{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	}
}

// recoverPanic answers a call whose handler panicked, instead of closing the connection without an
// answer, and panics again so that the server logs it.
func recoverPanic(w http.ResponseWriter) {
	recovered := recover()
	if recovered == nil {
		return
	}
	WriteFailure(w, failure.New(failure.Internal, "the handler panicked: %v", recovered))
	if err := http.NewResponseController(w).Flush(); err == nil {
		panic(recovered)
	}
}

// bodyReadTimeout bounds the time for reading a request body.
const bodyReadTimeout = 10 * time.Second

// failureBody is the JSON body of a failure.
type failureBody struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
}

// WriteFailure answers a call with the status, message and remedy of a failure.
func WriteFailure(w http.ResponseWriter, err error) {
	f := failure.Of(err)
	body, err := json.Marshal(failureBody{f.Message(), string(f.Kind()), f.Remedy()})
	if err != nil {
		// Encoding strings into memory cannot fail.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if after := f.RetryAfter(); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(f.Status())
	_, _ = w.Write(body) // an error means that the caller has disconnected
}
