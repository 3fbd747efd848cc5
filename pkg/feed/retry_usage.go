// ================================================================
// Retry usage of gateways that shut down gracefully, kept for the successor at the same address.
// Without it the successor has to assume that the whole retry budget is used, and streams that
// break in its first seconds are not retried: in a rolling update these are most of the broken
// streams.
//
// It is handed over once. A second successor, after one that was killed, must not receive the usage
// of the first gateway: each gateway that starts removes the entry at this node and, through the
// peers that nodes send to each other, at all others.
//
// Continuous reports of the usage would cover killed gateways too, but the usage after the last
// report would need a bound of its own.
// ================================================================

package feed

import "time"

// retryUsageTTL is how long an entry is kept: the longest window of a retry budget.
const retryUsageTTL = 30 * time.Second

// storedRetryUsage is the retry usage of a gateway and the time at which it was received.
type storedRetryUsage struct {
	usage      RetryUsage
	receivedAt time.Time
}

// agedTo returns the usage with its age at the given time.
func (s storedRetryUsage) agedTo(now time.Time) *RetryUsage {
	usage := s.usage
	usage.age += now.Sub(s.receivedAt)
	return &usage
}

// storeRetryUsage stores the retry usage of a follower.
func (p *Publisher) storeRetryUsage(s *subscriber, usage RetryUsage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryUsage[s.hello.self.Address()] = storedRetryUsage{usage, time.Now()}
}

// handOverRetryUsage moves the stored usage of a gateway's predecessor to its queue.
func (p *Publisher) handOverRetryUsage(s *subscriber) {
	if s.hello.role != RoleGateway {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	address := s.hello.self.Address()
	if stored, found := p.retryUsage[address]; found {
		s.retryUsage = &stored
		delete(p.retryUsage, address)
	}
}

// dropRetryUsage removes the entries of gateways that have started at another node, which may have
// handed over the same usage. The caller holds the lock.
func (p *Publisher) dropRetryUsage(started []Peer) {
	for _, peer := range started {
		delete(p.retryUsage, peer.address)
	}
}

// expireRetryUsage removes the entries older than retryUsageTTL. The caller holds the lock.
func (p *Publisher) expireRetryUsage(now time.Time) {
	for address, stored := range p.retryUsage {
		if now.Sub(stored.receivedAt) > retryUsageTTL {
			delete(p.retryUsage, address)
		}
	}
}
