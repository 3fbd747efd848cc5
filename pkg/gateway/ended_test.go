package gateway

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/registry"
)

func TestClosedByPeer(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for err, want := range map[error]bool{
		io.EOF: true, io.ErrUnexpectedEOF: true, reset: true,
		net.ErrClosed: false, os.ErrDeadlineExceeded: false, nil: false,
	} {
		if closedByPeer(err) != want {
			t.Errorf("%v: %t", err, !want)
		}
	}
}

// backendAt returns a backend server at an address.
func backendAt(address string) *backend {
	return newBackend(registry.NewRegistration("i-1", "menu", address, "hall-a", "v1", 4, registry.Ready, 0, nil, 1, 0))
}

// Attempts that break together share a dial; one that was answered says nothing of an end
// afterwards, and one that was refused holds for those that break with it.
func TestCrashProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := backendAt(l.Addr().String())
	now := time.Now()
	first := b.probe(now)
	<-first.done
	if first.refused {
		t.Error("a server that listens has ended")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	second := b.probe(now)
	if second == first {
		t.Error("a dial that was answered holds after the end")
	}
	<-second.done
	if !second.refused {
		t.Error("a port that is closed is no end")
	}
	if b.probe(now.Add(probeReuseWindow/2)) != second || b.probe(now.Add(2*probeReuseWindow)) == second {
		t.Error("a refused dial holds too long, or not at all")
	}
}
