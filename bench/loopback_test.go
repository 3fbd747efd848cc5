//go:build bench

package bench

import (
	"context"
	"net"
	"testing"

	"github.com/tidepost/tidepost/pkg/link"
)

// serveOnLoopback serves an endpoint on a free loopback port until ctx ends, and returns its address.
func serveOnLoopback(t *testing.T, ctx context.Context, e *link.Endpoint) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() { _ = e.Serve(ctx, l) }()
	return l.Addr().String()
}
