package daemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
)

// Only panics get through.
func TestHTTPLogWritesOnlyPanics(t *testing.T) {
	var out bytes.Buffer
	l := HTTPLog(log.NewJSONLogger(&out))
	l.Print("http: TLS handshake error from 127.0.0.1:1: EOF")
	if out.Len() != 0 {
		t.Errorf("told: %s", out.String())
	}
	l.Print("http: panic serving 127.0.0.1:1: seeded\ngoroutine 7")
	if !strings.Contains(out.String(), "seeded") {
		t.Errorf("not told: %q", out.String())
	}
}
