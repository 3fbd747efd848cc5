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
	// tcpKeepAliveIdle and probeInterval, in seconds, and probeCount are the TCP
	// keep-alive of connections that say nothing.
	tcpKeepAliveIdle     = 2
	tcpKeepAliveInterval = 1
	tcpKeepAliveCount    = 3
)

// firstDialTimeout is how long the first try of a dial may take; each further one may
// take twice as long. Ways between the users' VMs take 6 ms there and back.
const firstDialTimeout = 150 * time.Millisecond

// dialTCP opens a connection that breaks when the other side falls silent.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: tcpKeepAliveControl, KeepAlive: -1}
	return dialWithRetries(ctx, firstDialTimeout, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
}

// dialWithRetries dials anew while nobody answers. The kernel sends an opening
// packet that was lost again after a second; VMs that got their power back
// together found each other a second late, since the first packets went to VMs
// that were not up yet.
func dialWithRetries(ctx context.Context, try time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
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

// applyTCPKeepAlive sets the options on a connection; others than TCP are left.
func applyTCPKeepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { setTCPKeepAlive(int(fd), unackedTimeout) })
}

// setTCPKeepAlive sets the options on a socket. An option that the kernel lacks is
// left out: the link then breaks later.
func setTCPKeepAlive(fd int, timeout time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, tcpKeepAliveIdle)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, tcpKeepAliveInterval)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, tcpKeepAliveCount)
}

// tcpKeepAliveControl sets the options before a connection is made, so that they
// bound the making too.
func tcpKeepAliveControl(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setTCPKeepAlive(int(fd), unackedTimeout) })
}
