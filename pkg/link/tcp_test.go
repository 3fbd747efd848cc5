package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// VMs that got their power back together found each other a second late.
func TestUnansweredDialIsRetried(t *testing.T) {
	tries := 0
	conn, err := dialWithRetries(t.Context(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		if tries++; tries < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		client, server := net.Pipe()
		_ = server.Close()
		return client, nil
	})
	if err != nil || conn == nil || tries != 3 {
		t.Fatalf("%v after %d tries", err, tries)
	}
}

func TestRefusedDialIsNotRetried(t *testing.T) {
	tries := 0
	refused := errors.New("connection refused")
	_, err := dialWithRetries(t.Context(), time.Hour, func(context.Context) (net.Conn, error) {
		tries++
		return nil, refused
	})
	if err != refused || tries != 1 {
		t.Fatalf("%v after %d tries", err, tries)
	}
}
