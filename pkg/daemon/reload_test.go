package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/go-kit/log"
)

// A SIGHUP that arrives after NewReloadable and before Run causes a reload. When nothing handled
// the signal in that window, a gateway that got a SIGHUP during its start was terminated with all its
// connections. Without the handler this test ends its own process.
func TestSIGHUPBeforeRunReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("first")
	ctx, cancel := context.WithCancel(t.Context())
	read := func(path string) (string, error) {
		defer cancel()
		raw, err := os.ReadFile(path)
		return string(raw), err
	}
	r := NewReloadable(path, "first", read, log.NewNopLogger())
	write("second")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := r.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := r.Get(); got != "second" {
		t.Errorf("the value is %q, want second", got)
	}
}
