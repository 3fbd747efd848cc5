package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// startEchoServer starts a server that sends back all data and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// firstWord labels a connection by the first word that its dialer sends.
func firstWord(first []byte) string {
	word, _, _ := strings.Cut(string(first), " ")
	return word
}

func listen(t *testing.T, target string) *Proxy {
	p, err := Listen(Config{Listen: "127.0.0.1:0", Target: target, Label: firstWord})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// lineConn is a connection with a buffered reader for lines.
type lineConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

func dial(t *testing.T, p *Proxy) lineConn {
	conn, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return lineConn{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// mustEcho sends a line and fails the test unless the same line comes back.
func (l lineConn) mustEcho(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(l, text+"\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := l.reader.ReadString('\n'); err != nil || got != text+"\n" {
		t.Fatalf("echo %q, %v", got, err)
	}
}

// mustBeSilent fails the test if data, an end of stream or a reset arrives within a short time.
func (l lineConn) mustBeSilent(t *testing.T) {
	t.Helper()
	const window = 50 * time.Millisecond
	_ = l.SetReadDeadline(time.Now().Add(window))
	rest, err := l.reader.ReadString('\n')
	var timeout net.Error
	if rest != "" || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("received %q, %v; want a timeout", rest, err)
	}
	_ = l.SetReadDeadline(time.Time{})
}

func TestSilenceSparesNewConnections(t *testing.T) {
	for name, m := range map[string]SilenceOptions{"lost": {}, "acknowledged": {Acknowledged: true}} {
		t.Run(name, func(t *testing.T) {
			p := listen(t, startEchoServer(t))
			old := dial(t, p)
			old.mustEcho(t, "old one")
			if n := p.Silence(AllLabels, m); n["old"] != 1 {
				t.Fatalf("silenced %v", n)
			}
			if _, err := io.WriteString(old, "old two\n"); err != nil {
				t.Fatalf("the writer got an error: %v", err)
			}
			old.mustBeSilent(t)
			fresh := dial(t, p)
			fresh.mustEcho(t, "fresh one")
			old.mustBeSilent(t)
			if n := p.Silence(AllLabels, m); n["old"] != 0 || n["fresh"] != 1 {
				t.Fatalf("second call silenced %v", n)
			}
			fresh.mustBeSilent(t)
			dial(t, p).mustEcho(t, "third one")
		})
	}
}

func TestSilenceSparesOtherLabels(t *testing.T) {
	p := listen(t, startEchoServer(t))
	a, b := dial(t, p), dial(t, p)
	a.mustEcho(t, "a one")
	b.mustEcho(t, "b one")
	p.Silence(func(label string) bool { return label == "a" }, SilenceOptions{})
	b.mustEcho(t, "b two")
	if _, err := io.WriteString(a, "a two\n"); err != nil {
		t.Fatal(err)
	}
	a.mustBeSilent(t)
	b.mustEcho(t, "b three")
}

// A connection can go silent before its dialer has sent data; its label is empty then.
func TestSilenceBeforeTheFirstByte(t *testing.T) {
	p := listen(t, startEchoServer(t))
	early := dial(t, p)
	dial(t, p).mustEcho(t, "later one") // the proxy accepts in order
	for p.Silence(func(label string) bool { return label == "" }, SilenceOptions{})[""] == 0 {
		// The proxy has accepted the connection but may still be connecting to the target.
	}
	if _, err := io.WriteString(early, "early one\n"); err != nil {
		t.Fatal(err)
	}
	early.mustBeSilent(t)
}

func TestSilenceMidway(t *testing.T) {
	p := listen(t, startEchoServer(t))
	l := dial(t, p)
	l.mustEcho(t, "l one")
	p.Silence(AllLabels, SilenceOptions{Midway: true})
	if _, err := io.WriteString(l, "l 23456789\n"); err != nil {
		t.Fatal(err)
	}
	// The server gets half of the line, and its echo is lost.
	l.mustBeSilent(t)
}

// Data on a silent connection is not acknowledged, so TCP_USER_TIMEOUT ends the connection. With
// Acknowledged, the data is acknowledged and the writer gets no error.
func TestLostPacketsAreNotAcknowledged(t *testing.T) {
	for name, m := range map[string]SilenceOptions{"lost": {}, "acknowledged": {Acknowledged: true}} {
		t.Run(name, func(t *testing.T) {
			p := listen(t, startEchoServer(t))
			l := dial(t, p)
			l.mustEcho(t, "l one")
			raw, err := l.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			const limitMs = 200
			_ = raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, limitMs) })
			if err != nil {
				t.Fatal(err)
			}
			p.Silence(AllLabels, m)
			if _, err := io.WriteString(l, "l two\n"); err != nil {
				t.Fatal(err)
			}
			if m.Acknowledged {
				for unsent(t, l) > 0 {
					time.Sleep(time.Millisecond)
				}
				l.mustBeSilent(t)
				return
			}
			if _, err := l.reader.ReadString('\n'); !errors.Is(err, syscall.ETIMEDOUT) {
				t.Fatalf("read after %d ms without acknowledgement: %v, want ETIMEDOUT", limitMs, err)
			}
		})
	}
}

// unsent returns the number of bytes that the peer has not acknowledged.
func unsent(t *testing.T, l lineConn) (n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A writer to a silent connection blocks once the socket buffers are full.
func TestWriterToSilentConnectionBlocks(t *testing.T) {
	for name, m := range map[string]SilenceOptions{"lost": {}, "acknowledged": {Acknowledged: true}} {
		t.Run(name, func(t *testing.T) {
			p := listen(t, startEchoServer(t))
			l := dial(t, p)
			l.mustEcho(t, "l one")
			p.Silence(AllLabels, m)
			_ = l.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			var timeout net.Error
			if _, err := l.Write(make([]byte, 64<<20)); !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Fatalf("64 MiB written: %v", err)
			}
		})
	}
}

func TestEndOfStreamIsForwarded(t *testing.T) {
	p := listen(t, startEchoServer(t))
	l := dial(t, p)
	l.mustEcho(t, "l one")
	if _, err := io.WriteString(l, "last"); err != nil {
		t.Fatal(err)
	}
	if err := l.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(l.reader); string(rest) != "last" || err != nil {
		t.Fatalf("%q, %v", rest, err)
	}
}

func TestUnreachableTargetResetsTheDialer(t *testing.T) {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := unused.Addr().String()
	_ = unused.Close()
	// The reset may arrive during or after the handshake.
	conn, err := net.Dial("tcp", listen(t, target).Address())
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("%v", err)
	}
}

func TestAcceptedConnsKeepOrderAndLabels(t *testing.T) {
	p := listen(t, startEchoServer(t))
	dial(t, p).mustEcho(t, "a one")
	p.Silence(AllLabels, SilenceOptions{})
	dial(t, p).mustEcho(t, "b one")
	all := p.AcceptedConns()
	if len(all) != 2 || all[0].Label != "a" || all[1].Label != "b" || all[1].At.Before(all[0].At) {
		t.Fatalf("%v", all)
	}
}

// Silence in one direction leaves the other direction working.
func TestSilenceInOneDirection(t *testing.T) {
	t.Run("to the target", func(t *testing.T) {
		p := listen(t, startEchoServer(t))
		l := dial(t, p)
		l.mustEcho(t, "l one")
		p.Silence(AllLabels, SilenceOptions{Direction: ToTarget})
		if _, err := io.WriteString(l, "l two\n"); err != nil {
			t.Fatal(err)
		}
		l.mustBeSilent(t)
	})
	t.Run("to the dialer", func(t *testing.T) {
		server, client := net.Pipe()
		p := listen(t, startSinkServer(t, server))
		l := dial(t, p)
		if _, err := io.WriteString(l, "l one\n"); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewReader(client)
		mustRead(t, lines, "l one\n")
		p.Silence(AllLabels, SilenceOptions{Direction: ToDialer})
		if _, err := io.WriteString(l, "l two\n"); err != nil {
			t.Fatal(err)
		}
		mustRead(t, lines, "l two\n")
		l.mustBeSilent(t)
	})
	t.Run("from the target", func(t *testing.T) {
		greeting := make(chan string)
		p := listen(t, startGreetingServer(t, greeting))
		l := dial(t, p)
		if _, err := io.WriteString(l, "l one\n"); err != nil {
			t.Fatal(err)
		}
		greeting <- "first\n"
		mustRead(t, l.reader, "first\n")
		p.Silence(AllLabels, SilenceOptions{Direction: ToTarget})
		greeting <- "second\n"
		mustRead(t, l.reader, "second\n")
	})
}

func mustRead(t *testing.T, from *bufio.Reader, want string) {
	t.Helper()
	if got, err := from.ReadString('\n'); err != nil || got != want {
		t.Fatalf("received %q, %v", got, err)
	}
}

// startSinkServer starts a server that copies received data to a writer and sends nothing.
func startSinkServer(t *testing.T, to io.Writer) string {
	return startSingleConnServer(t, func(conn net.Conn) { _, _ = io.Copy(to, conn) })
}

// startGreetingServer starts a server that sends each text that it receives from a channel.
func startGreetingServer(t *testing.T, greeting <-chan string) string {
	return startSingleConnServer(t, func(conn net.Conn) {
		for {
			select {
			case <-t.Context().Done():
				return
			case text := <-greeting:
				_, _ = io.WriteString(conn, text)
			}
		}
	})
}

// startSingleConnServer starts a server that serves only the first connection, and returns its
// address.
func startSingleConnServer(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn)
	}()
	return l.Addr().String()
}

func TestResetSparesNewConnections(t *testing.T) {
	p := listen(t, startEchoServer(t))
	old := dial(t, p)
	old.mustEcho(t, "old one")
	if n := p.Reset(AllLabels); n["old"] != 1 {
		t.Fatalf("reset %v", n)
	}
	if _, err := old.reader.ReadString('\n'); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("%v", err)
	}
	dial(t, p).mustEcho(t, "fresh one")
}

// Each direction delays a block, so an echo takes at least twice the delay.
func TestDelayAppliesInBothDirections(t *testing.T) {
	const delay = 20 * time.Millisecond
	p := listen(t, startEchoServer(t))
	p.Delay(func(label string) time.Duration {
		if label == "slow" {
			return delay
		}
		return 0
	})
	slow, quick := dial(t, p), dial(t, p)
	quick.mustEcho(t, "quick one")
	started := time.Now()
	slow.mustEcho(t, "slow one")
	if took := time.Since(started); took < 2*delay {
		t.Fatalf("echo in %s", took)
	}
}
