// ================================================================
// A fake plain service whose calls may not be repeated. It counts how often each order ran.
// ================================================================

package fake

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Service is a fake plain service. It is safe for concurrent use.
type Service struct {
	// Delay is the duration of a call.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service that has run no orders.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Runs returns how often an order ran.
func (s *Service) Runs(order string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[order]
}

// AllRuns returns how often each order ran, by order.
func (s *Service) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for order, n := range s.runs {
		runs[order] = n
	}
	return runs
}

// orderResponse is the body of the response to an order.
type orderResponse struct {
	Order string `json:"order"`
	Runs  int    `json:"runs"`
}

// Handler returns the service's HTTP interface: POST /orders runs the order in the body, and
// GET /runs returns how often each order ran.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/orders", s.serveOrder)
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.AllRuns()) })
	return r
}

func (s *Service) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	n := s.runs[string(body)]
	s.mu.Unlock()
	time.Sleep(s.Delay)
	writeJSON(w, orderResponse{string(body), n})
}
