// ================================================================
// The TCP options of a link. A VM without power or behind a cut answers
// nothing, and by default a connection to it hangs for many minutes; bounded
// by these options it breaks in about two seconds and is dialed again.
//
// Rejected: a ping of our own on every link. The kernel does the same without
// waking the process.
// ================================================================

package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may wait for their acknowledgement.
	unackedTimeout = 2 * time.Second
	// probeIdle and probeInterval, in seconds, and probeCount are the TCP
	// keep-alive of connections that say nothing.
	probeIdle     = 2
	probeInterval = 1
	probeCount    = 3
)

// firstTry is how long the first try of a dial may take; each further one may
// take twice as long. Ways between the users' VMs take 6 ms there and back.
const firstTry = 150 * time.Millisecond

// dialTCP opens a connection that breaks when the other side falls silent.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: silenceControl, KeepAlive: -1}
	return dialInTries(ctx, firstTry, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
}

// dialInTries dials anew while nobody answers. The kernel sends an opening
// packet that was lost again after a second; VMs that got their power back
// together found each other a second late, since the first packets went to VMs
// that were not up yet.
func dialInTries(ctx context.Context, try time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for {
		trying, cancel := context.WithTimeout(ctx, try)
		conn, err := dial(trying)
		silent := trying.Err() != nil
		cancel()
		if err == nil || !silent || ctx.Err() != nil {
			return conn, err
		}
		try *= 2
	}
}

// boundSilence sets the options on a connection; others than TCP are left.
func boundSilence(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setSilence(int(fd), unackedTimeout) })
}

// setSilence sets the options on a socket. An option that the kernel lacks is
// left out: the link then breaks later.
func setSilence(fd int, timeout time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdle)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeInterval)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount)
}

// silenceControl sets the options before a connection is made, so that they
// bound the making too.
func silenceControl(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setSilence(int(fd), unackedTimeout) })
}
