// ================================================================
// What gateways that ended in order had spent of their budget of repeats, kept for the one
// that starts at the same address. Without it that one has to take it that all was spent, and
// streams which break off in its first seconds find no repeat: in a roll that is most of them.
//
// It is handed on once. A second start, after one that was killed, must not be told what the
// first was: whoever starts takes the word away at this node, and by the peers that nodes tell
// each other at all others.
//
// Rejected: what each gateway spends, told all the time, so that a killed one leaves it too.
// What it spent after its last word would have to be kept within a bound of its own.
// ================================================================

package feed

import "time"

// retryUsageTTL is for how long it is kept: as long as the longest window of a budget.
const retryUsageTTL = 30 * time.Second

// storedRetryUsage is the last word of a gateway, and when it came.
type storedRetryUsage struct {
	usage      RetryUsage
	receivedAt time.Time
}

// agedTo returns the word with its age.
func (t storedRetryUsage) agedTo(now time.Time) *RetryUsage {
	s := t.usage
	s.age += now.Sub(t.receivedAt)
	return &s
}

// storeRetryUsage keeps the last word of a gateway.
func (p *Publisher) storeRetryUsage(s *subscriber, spent RetryUsage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryUsage[s.hello.self.Address()] = storedRetryUsage{spent, time.Now()}
}

// handOverRetryUsage has a gateway that starts told the last word of the one before it.
func (p *Publisher) handOverRetryUsage(s *subscriber) {
	if s.hello.role != RoleGateway {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	address := s.hello.self.Address()
	if told, kept := p.retryUsage[address]; kept {
		s.retryUsage = &told
		delete(p.retryUsage, address)
	}
}

// dropRetryUsage forgets the words that peers which started elsewhere may have been told, for
// whoever holds the lock.
func (p *Publisher) dropRetryUsage(started []Peer) {
	for _, peer := range started {
		delete(p.retryUsage, peer.address)
	}
}

// expireRetryUsage forgets what counts no more, for whoever holds the lock.
func (p *Publisher) expireRetryUsage(now time.Time) {
	for address, told := range p.retryUsage {
		if now.Sub(told.receivedAt) > retryUsageTTL {
			delete(p.retryUsage, address)
		}
	}
}
