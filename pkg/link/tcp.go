// ================================================================
// TCP dialing and options of a link. A VM that lost its power or its network
// does not respond, and by default a connection to it hangs for many minutes;
// with these options it fails in about two seconds and is dialed again.
// The kernel sends the probes without waking the process.
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
	// unackedTimeout is how long sent bytes may remain unacknowledged.
	unackedTimeout = 2 * time.Second
	// tcpKeepAliveIdle and tcpKeepAliveInterval, in seconds, and tcpKeepAliveCount are the
	// TCP keep-alive options of idle connections.
	tcpKeepAliveIdle     = 2
	tcpKeepAliveInterval = 1
	tcpKeepAliveCount    = 3
)

// firstDialTimeout is the timeout of the first attempt of a dial; it doubles with each
// further attempt. The round trip between VMs takes 6 ms.
const firstDialTimeout = 150 * time.Millisecond

// dialTCP opens a connection that fails when the peer stops responding.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: tcpKeepAliveControl, KeepAlive: -1}
	return dialWithRetries(ctx, firstDialTimeout, func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
}

// dialWithRetries dials again while the peer does not respond. The kernel retransmits a
// lost SYN packet only after a second: VMs that regained power together connected a second
// late, since their first packets went to VMs that were not up yet.
func dialWithRetries(ctx context.Context, timeout time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		conn, err := dial(attempt)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return conn, err
		}
		timeout *= 2
	}
}

// applyTCPKeepAlive sets the options on a TCP connection and ignores other connections.
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

// setTCPKeepAlive sets the options on a socket. It ignores options that the kernel lacks:
// the link then fails later.
func setTCPKeepAlive(fd int, timeout time.Duration) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, tcpKeepAliveIdle)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, tcpKeepAliveInterval)
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, tcpKeepAliveCount)
}

// tcpKeepAliveControl sets the options before a connection is established, so that they
// also apply to its establishment.
func tcpKeepAliveControl(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setTCPKeepAlive(int(fd), unackedTimeout) })
}
