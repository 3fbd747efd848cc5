// ================================================================
// Faults other than silence: resets and delays.
// ================================================================

package faultproxy

import "time"

// Reset resets both ends of the open connections whose label matches, and returns their number by
// label. Silent connections are left alone.
func (p *Proxy) Reset(match func(label string) bool) map[string]int {
	matched, count := p.matching(match)
	for _, c := range matched {
		c.reset()
	}
	return count
}

// Delay delays every block of data by delay(label) from now on, on open and new connections; nil
// removes the delay. A block waits for the one before it, as on a link with low bandwidth rather
// than one with high latency.
func (p *Proxy) Delay(delay func(label string) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// matching returns the open connections whose label matches, without those that are already silent,
// and their number by label.
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

// delayOf returns the current delay of a block on a connection.
func (p *Proxy) delayOf(c *proxiedConn) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delay == nil {
		return 0
	}
	return p.delay(c.label)
}
