// ================================================================
// A fake of the platform's list of VMs, which shows withdrawals after a configured lag.
// ================================================================

package fake

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Platform is a fake of the platform's list of VMs. It is safe for concurrent use.
type Platform struct {
	// Lag is the time until a withdrawal appears in the list.
	Lag time.Duration

	mu          sync.Mutex
	withdrawnAt map[string]time.Time
}

// NewPlatform returns a list without withdrawals.
func NewPlatform(lag time.Duration) *Platform {
	return &Platform{Lag: lag, withdrawnAt: map[string]time.Time{}}
}

// Withdraw marks a VM as leaving; the list shows it after the lag.
func (p *Platform) Withdraw(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdrawnAt[name] = time.Now()
}

// listedVM is an entry of the list.
type listedVM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/vms", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.list()) })
	r.Post("/vms/{name}/withdraw", func(_ http.ResponseWriter, q *http.Request) { p.Withdraw(chi.URLParam(q, "name")) })
	return r
}

func (p *Platform) list() []listedVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []listedVM{}
	for name, at := range p.withdrawnAt {
		if time.Since(at) >= p.Lag {
			list = append(list, listedVM{Name: name, Leaving: true})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
