// ================================================================
// Addresses on loopback for tests that start servers by their settings.
// ================================================================

// Package loopback finds addresses for tests.
package loopback

import (
	"net"
	"testing"
)

// FreeAddress returns an address, IP:PORT, that nobody listens at. Another process may
// take it before the caller does.
func FreeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
