// ================================================================
// Loopback addresses for tests that write an address into settings before a server listens on it.
// Until then no other test may take the address. Test processes that run in parallel all ask the
// kernel for free ports, so each process uses its own loopback IP address. Within a process no address
// is returned twice: the kernel returned one port twice among six in one of some thousand runs, and
// one of the servers could not start.
// ================================================================

// Package loopback finds free loopback addresses for tests.
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

// FreeAddress returns an address IP:PORT on which no server listens, and which no other call returns.
// It is safe for concurrent use.
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

// processHost returns the loopback IP address of this process: 127.128.0.0 plus the lower 22 bits of
// its process ID, which is the kernel's maximum. Outgoing connections use 127.0.0.1.
func processHost() string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128|id>>16&63, id>>8&255, id&255)
}
