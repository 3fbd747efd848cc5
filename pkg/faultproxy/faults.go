// ================================================================
// The other faults: connections are reset, and pieces held up.
// ================================================================

package faultproxy

import "time"

// Reset breaks the open connections with a label that which names, at both ends,
// and returns how many there were by label.
func (p *Proxy) Reset(match func(label string) bool) map[string]int {
	matched, count := p.matching(match)
	for _, c := range matched {
		c.reset()
	}
	return count
}

// Delay has every piece of the connections with a label held up for as long as
// delay says, from now on and on new connections too; nil holds up nothing. A piece
// waits for the one before, as on a link that is narrow rather than long.
func (p *Proxy) Delay(delay func(label string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// matching returns the open connections with a label that which names, but for those
// that are silent already, and counts them by label.
func (p *Proxy) matching(match func(label string) bool) (matched []*proxiedConn, count map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count = map[string]int{}
	for c := range p.conns {
		if !c.isSilent() && match(c.label) {
			matched = append(matched, c)
			count[c.label]++
		}
	}
	return matched, count
}

// delayOf returns how long a piece of a connection is held up now.
func (p *Proxy) delayOf(c *proxiedConn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay == nil {
		return 0
	}
	return p.delay(c.label)
}
