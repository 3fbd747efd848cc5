package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// A dial without a response is retried before the kernel retransmits its SYN packet after a
// second: VMs that regained power together connected a second late without this.
func TestUnansweredDialIsRetried(t *testing.T) {
	attempts := 0
	conn, err := dialWithRetries(t.Context(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		if attempts++; attempts < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		client, server := net.Pipe()
		_ = server.Close()
		return client, nil
	})
	if err != nil || conn == nil || attempts != 3 {
		t.Fatalf("%v after %d attempts", err, attempts)
	}
}

// A dial that the peer refuses returns its error at once.
func TestRefusedDialIsNotRetried(t *testing.T) {
	attempts := 0
	refused := errors.New("connection refused")
	_, err := dialWithRetries(t.Context(), time.Hour, func(context.Context) (net.Conn, error) {
		attempts++
		return nil, refused
	})
	if err != refused || attempts != 1 {
		t.Fatalf("%v after %d attempts", err, attempts)
	}
}
