// ================================================================
// Addresses on loopback for tests that start servers by their settings, where the
// address is known before somebody listens at it.
//
// Between the two nobody else may take it. All tests of a run are processes side by side
// that ask the kernel for ports, so each process has an IP address of its own among
// those of loopback; and within a process no address is given twice: of six that one
// test asks for, the kernel gave two alike once in some thousand runs, and one of the
// servers never came up.
// ================================================================

// Package loopback finds addresses for tests.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

var (
	assignedMu sync.Mutex
	assigned   = map[string]bool{}
)

// FreeAddress returns an address, IP:PORT, that nobody listens at and that is given to
// nobody else.
func FreeAddress(t testing.TB) string {
	t.Helper()
	assignedMu.Lock()
	defer assignedMu.Unlock()
	for {
		l, err := net.Listen("tcp", processHost()+":0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !assigned[address] {
			assigned[address] = true
			return address
		}
	}
}

// processHost returns this process's IP address: 127.128.0.0 and the lower 22 bits of its id,
// which is what the kernel counts ids to. Connections go out from 127.0.0.1.
func processHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128|id>>16&63, id>>8&255, id&255)
}
