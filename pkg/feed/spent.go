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

// spentLife is for how long it is kept: as long as the longest window of a budget.
const spentLife = 30 * time.Second

// toldSpent is the last word of a gateway, and when it came.
type toldSpent struct {
	spent Spent
	at    time.Time
}

// now returns the word with its age.
func (t toldSpent) now(now time.Time) *Spent {
	s := t.spent
	s.age += now.Sub(t.at)
	return &s
}

// keepSpent keeps the last word of a gateway.
func (p *Publisher) keepSpent(s *subscriber, spent Spent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent[s.hello.self.Address()] = toldSpent{spent, time.Now()}
}

// handOnSpent has a gateway that starts told the last word of the one before it.
func (p *Publisher) handOnSpent(s *subscriber) {
	if s.hello.role != RoleGateway {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	address := s.hello.self.Address()
	if told, kept := p.spent[address]; kept {
		s.spent = &told
		delete(p.spent, address)
	}
}

// forgetSpent forgets the words that peers which started elsewhere may have been told, for
// whoever holds the lock.
func (p *Publisher) forgetSpent(started []Peer) {
	for _, peer := range started {
		delete(p.spent, peer.address)
	}
}

// forgetOldSpent forgets what counts no more, for whoever holds the lock.
func (p *Publisher) forgetOldSpent(now time.Time) {
	for address, told := range p.spent {
		if now.Sub(told.at) > spentLife {
			delete(p.spent, address)
		}
	}
}
