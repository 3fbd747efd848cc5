package staging

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-kit/log"

	"github.com/tidepost/tidepost/pkg/disk"
)

// Guards against a cache that serves a copy under another version or model, since the disk damaged the
// stored manifest: the digests of the chunks do not cover it.
func TestDamagedStoredCopyIsNotUsed(t *testing.T) {
	path := t.TempDir()
	folder, err := disk.NewFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	open := func() (*disk.Folder, error) { return folder, nil }
	c, data := testCopy(4)
	for number := range data {
		if _, err := c.add(number, data[number]); err != nil {
			t.Fatal(err)
		}
	}
	if err := newCopyStore(open, log.NewNopLogger()).write(c); err != nil {
		t.Fatal(err)
	}
	if held := newCopyStore(open, log.NewNopLogger()).load(); len(held) != 1 || held[0].manifest.version != c.manifest.version {
		t.Fatalf("%d copies are read", len(held))
	}
	file := filepath.Join(path, fileName(c.manifest.model))
	stored, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range stored {
		damaged := bytes.Clone(stored)
		damaged[i] ^= 1 << (i % 8)
		if err := os.WriteFile(file, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		for _, held := range newCopyStore(open, log.NewNopLogger()).load() {
			t.Errorf("byte %d: a copy of %s version %d with %d chunks is used", i, held.manifest.model, held.manifest.version, len(held.chunks))
		}
	}
}
