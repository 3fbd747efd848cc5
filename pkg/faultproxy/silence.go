// ================================================================
// Silent connections: both ends stay open, but no data passes any more, as behind a router that has
// dropped the connection from its table.
// ================================================================

package faultproxy

import (
	"net"

	"golang.org/x/sys/unix"
)

// SilenceOptions defines how connections go silent. The zero value drops every packet in both
// directions from now on.
type SilenceOptions struct {
	// Acknowledged makes the proxy's kernel acknowledge data until its buffers are full, as a
	// middlebox does that acknowledges for the peer and then loses the data. TCP_USER_TIMEOUT and
	// keep-alive probes do not detect this; only a missing response shows it.
	Acknowledged bool
	// Midway forwards half of the next block from either end and starts the silence then, so that
	// it begins in the middle of a message.
	Midway bool
	// Direction is the direction that goes silent; 0 means both. Data in the other direction still
	// arrives, but the acknowledgements for the silent direction do not.
	Direction Direction
}

// Direction is a direction of a connection.
type Direction int

// The directions.
const (
	ToTarget Direction = iota + 1
	ToDialer
)

// affects reports whether the options silence the direction to the target or the one to the dialer.
func (o SilenceOptions) affects(toTarget bool) bool {
	return o.Direction == 0 || (o.Direction == ToTarget) == toTarget
}

// Silence makes the open connections whose label matches silent for good, and returns their number
// by label. New connections are not affected. After it returns, no more data passes in the affected
// directions, except with SilenceOptions.Midway, where the silence begins with the next block.
//
// A silent connection is not read: reading and discarding would let a writer send forever, while
// on a broken network its buffer fills up and it blocks.
func (p *Proxy) Silence(match func(label string) bool, o SilenceOptions) map[string]int {
	matched, count := p.matching(match)
	for _, c := range matched {
		if o.Midway {
			c.pendingSilence.Store(&o)
		} else {
			c.silence(o)
		}
	}
	if o.Midway {
		return count
	}
	for _, c := range matched {
		for _, d := range c.pipes(o) {
			<-d.done
		}
	}
	return count
}

// AllLabels matches every label.
func AllLabels(string) bool { return true }

// dropPackets drops every packet that arrives at a socket before TCP processes it, with a socket
// filter, which needs no privilege. Without it the kernel would acknowledge data that is never read,
// while on a network that loses packets the writer notices the loss by TCP_USER_TIMEOUT or keep-alive
// probes. If the kernel does not support the filter, data is still acknowledged.
func dropPackets(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// A filter of one instruction: accept 0 bytes of the packet.
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
}
