package gateway

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/serviceconfig"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// A request that waits at a backend server that becomes unreachable is retried at another one, and
// the next request is not sent to the unreachable one.
func TestRequestsLeaveUnreachableBackend(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	silent := func(*bufio.Writer, *http.Request) bool {
		close(received)
		<-release
		return false
	}
	first, second := newFakeBackend(t, "i-1", silent), newFakeBackend(t, "i-2", respondWith("200 OK", "second"))
	defer close(release)
	f := newFixture(t, serviceconfig.Repeatable, false, first, second)
	go func() {
		<-received
		for _, b := range f.gateway.backends.forService("menu") {
			if b.latestRegistration().Incarnation() == "i-1" {
				b.setUnreachable(true)
			}
		}
	}()
	for _, id := range []string{"a", "b"} {
		status, _, body, err := f.do(t, f.request(t, http.MethodGet, id, ""))
		if status != 200 || body != "second" || err != nil {
			t.Fatalf("%s: %d %q %v", id, status, body, err)
		}
	}
	if ids := first.requests(); len(ids) != 1 {
		t.Fatalf("the unreachable server got %v", ids)
	}
}

// A request that is not idempotent may have run, so it must not be canceled and sent again.
func TestNonIdempotentRequestIsNotCanceled(t *testing.T) {
	var w waitingRequests
	w.add(time.Now(), nil)
	if cancels := w.cancelFuncs(); len(cancels) != 0 {
		t.Fatal("a request that is not idempotent would be canceled")
	}
}

// A refused connection shows that the VM is reachable.
func TestRefusedConnectionCountsAsReachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if !upstream.NewPool(address).AnswersDial(context.Background(), time.Second) {
		t.Fatal("a listener counts as unreachable")
	}
	_ = l.Close()
	if !upstream.NewPool(address).AnswersDial(context.Background(), time.Second) {
		t.Fatal("a port that refuses connections counts as unreachable")
	}
}
