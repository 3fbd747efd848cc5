package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/tidepost/tidepost/pkg/faultproxy"
)

// A request lost on a silent connection must be distinguished from one that its server may
// have received. The connection has served an earlier request, whose bytes must not count.
func TestNothingIsAcknowledgedOnLostConnections(t *testing.T) {
	const silence = 50 * time.Millisecond
	for name, c := range map[string]struct {
		options faultproxy.SilenceOptions
		silent  bool
		nothing bool
	}{
		"lost":         {faultproxy.SilenceOptions{}, true, true},
		"acknowledged": {faultproxy.SilenceOptions{Acknowledged: true}, true, false},
		"works":        {faultproxy.SilenceOptions{}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			proxy, err := faultproxy.Listen(faultproxy.Config{Listen: "127.0.0.1:0", Target: serveOK(t), Label: func([]byte) string { return "" }})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(proxy.Close)
			p := NewPool(proxy.Address())
			_, finish := exchange(t, p)
			finish()
			kept, err := p.Get(t.Context(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			if c.silent {
				proxy.Silence(faultproxy.AllLabels, c.options)
			}
			ctx, cancel := context.WithTimeout(t.Context(), silence)
			defer cancel()
			_, _ = kept.Exchange(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h"}, time.Now().Add(silence))
			kept.Abort()
			if nothing := kept.NothingAcknowledged(); nothing != c.nothing {
				t.Errorf("nothing acknowledged: %t", nothing)
			}
		})
	}
}
