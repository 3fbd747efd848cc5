// ================================================================
// Silence: a connection that stays open at both ends and carries nothing any
// more, as behind a router that has forgotten it.
//
// On loopback the kernel of the proxy's end goes on to acknowledge what comes,
// also where nobody reads it; a network that loses packets acknowledges nothing,
// and the writer's own limits (TCP_USER_TIMEOUT, keep-alive probes) tell it so in
// the end. So the packets that come to a silent socket are dropped before TCP
// sees them, by a filter on that socket, which needs no privilege. The writer
// gets no error but the one that it would get from such a network.
//
// Nothing is read either. To read and throw away would let a writer send for
// ever; with a lost network its buffer fills up and it waits.
//
// Some networks have a middle box that acknowledges for the other side and then
// loses what it holds: Manner.Acknowledged. There the limits of TCP tell nothing,
// and only who expects an answer notices.
// ================================================================

package faultproxy

import (
	"net"

	"golang.org/x/sys/unix"
)

// SilenceOptions says how connections go silent. The zero value loses every packet from
// now on.
type SilenceOptions struct {
	// Acknowledged says that what is sent is still acknowledged, as far as the
	// buffers of the kernel go.
	Acknowledged bool
	// Midway passes half of the next piece that comes either way, and is silent
	// only then: the silence falls into the middle of a message.
	Midway bool
	// Direction is the way that goes silent; both when it is not set. What comes the
	// other way still arrives, but for the acknowledgements of the silent one.
	Direction Direction
}

// Direction is a direction of a connection.
type Direction int

// The ways.
const (
	ToTarget Direction = iota + 1
	ToDialer
)

func (m SilenceOptions) affects(toTarget bool) bool {
	return m.Direction == 0 || (m.Direction == ToTarget) == toTarget
}

// Silence makes the open connections with a label that which names silent for
// good, and returns how many there were by label. New ones pass. But for
// Manner.Midway, nothing is passed on any more once it returns.
func (p *Proxy) Silence(match func(label string) bool, m SilenceOptions) map[string]int {
	matched, count := p.matching(match)
	for _, c := range matched {
		if m.Midway {
			c.midway.Store(&m)
		} else {
			c.silence(m)
		}
	}
	if m.Midway {
		return count
	}
	for _, c := range matched {
		for _, w := range c.pipes(m) {
			<-w.done
		}
	}
	return count
}

// AllLabels chooses the connections of all labels.
func AllLabels(string) bool { return true }

// dropPackets drops every packet that comes to a socket. Where the kernel has no
// such filter, what is sent is acknowledged.
func dropPackets(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// One instruction: pass on nothing of a packet.
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
}
