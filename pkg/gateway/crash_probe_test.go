// ================================================================
// Tests of the probe that finds out whether a backend server crashed when an attempt broke off.
// ================================================================

package gateway

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/metric"
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

// backendAt returns a backend server with the given address.
func backendAt(address string) *backend {
	return newBackend(registry.NewRegistration("i-1", "menu", address, "hall-a", "v1", 4, registry.Ready, 0, nil, 1, 0))
}

// Attempts that break off together share a probe. An accepted probe proves nothing about a later
// crash, and a refused one is valid for the attempts that break off at about the same time.
func TestCrashProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := backendAt(l.Addr().String())
	now := time.Now()
	ask := livenessProbe{pool: b.pool, readResponse: readNativeResponse, results: metric.NewCounters(metric.GatewayProbes, "result")}
	first := b.startCrashProbe(now, ask)
	<-first.done
	if first.result == probeCrashed {
		t.Error("the probe of a listening server was refused")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	now = time.Now()
	second := b.startCrashProbe(now, ask)
	if second == first {
		t.Error("an accepted probe was reused after the crash")
	}
	<-second.done
	if second.result != probeCrashed {
		t.Error("the probe of a closed port was not refused")
	}
	if b.startCrashProbe(now.Add(crashReuseWindow/2), ask) != second || b.startCrashProbe(now.Add(2*crashReuseWindow), ask) == second {
		t.Error("a refused probe was reused for too long, or not at all")
	}
}
