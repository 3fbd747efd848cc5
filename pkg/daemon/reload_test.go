package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/go-kit/log"
)

// What was seen: a gateway that was told to read its settings again while it started was
// gone, with all connections that it had. How it comes about: nobody takes SIGHUP between
// the start of the process and the loop that waits for it, and then it ends the process.
// What proved it: without the mend this test ends the test's own process.
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
		t.Errorf("the value is %q", got)
	}
}
