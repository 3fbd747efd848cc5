// ================================================================
// The length of long prompts of each route, learned from its recent requests at this gateway. While requests
// are refused because all engines are full, all requests of a route are admitted at the same backlog of an
// engine, at which a long one still starts in time (reservation.Request.TestedPrompt). At other times each
// request is admitted by its own prompt: nobody is refused for it.
// ================================================================

package gateway

import (
	"sync"
	"time"
)

const (
	// longPromptShare is the share of a route's prompts that are not longer than a long one.
	longPromptShare = 0.98
	// maxPromptSamples of the latest prompts are kept for each route.
	maxPromptSamples = 128
	// maxPromptRoutes bounds the routes whose prompts are kept. A configuration may replace its routes
	// again and again.
	maxPromptRoutes = 4096
	// contentionPeriod is how long after a refusal the requests of a service compete for its engines.
	contentionPeriod = 3 * time.Second
)

// promptLengths learns the lengths of prompts by route. The zero value is ready to use; it is safe for
// concurrent use.
type promptLengths struct {
	mu        sync.Mutex
	routes    map[string]*recentQuantile[int]
	refusedAt map[string]time.Time // when a request was last refused since all engines were full, by service
}

// add adds the prompt of a request.
func (p *promptLengths) add(route string, tokens int) {
	if tokens <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lengths := p.routes[route]
	if lengths == nil {
		if p.routes == nil || len(p.routes) >= maxPromptRoutes {
			p.routes = map[string]*recentQuantile[int]{}
		}
		lengths = newRecentQuantile[int](longPromptShare, maxPromptSamples)
		p.routes[route] = lengths
	}
	lengths.add(tokens)
}

// recordRefusal records that a request was refused since all engines of a service were full.
func (p *promptLengths) recordRefusal(service string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedAt == nil {
		p.refusedAt = map[string]time.Time{}
	}
	p.refusedAt[service] = now
}

// long returns the length of a long prompt of a route; 0 if none is known, or if no request competes for the
// engines of the service.
func (p *promptLengths) long(route, service string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	lengths, refusedAt := p.routes[route], p.refusedAt[service]
	if lengths == nil || refusedAt.IsZero() || now.Sub(refusedAt) > contentionPeriod {
		return 0
	}
	return lengths.value()
}
