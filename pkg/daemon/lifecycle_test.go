package daemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
)

// A panic of a handler is logged; other errors of HTTP servers are not.
func TestHTTPLogWritesOnlyPanics(t *testing.T) {
	var out bytes.Buffer
	l := HTTPLog(log.NewJSONLogger(&out))
	l.Print("http: TLS handshake error from 127.0.0.1:1: EOF")
	if out.Len() != 0 {
		t.Errorf("logged: %s", out.String())
	}
	l.Print("http: panic serving 127.0.0.1:1: seeded\ngoroutine 7")
	if !strings.Contains(out.String(), "seeded") {
		t.Errorf("the panic is not logged: %q", out.String())
	}
}
