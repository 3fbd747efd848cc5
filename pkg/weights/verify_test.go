package weights

import (
	"bytes"
	"context"
	"errors"
	"os"
	"sync"
	"testing"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

// completeCopy returns a complete copy of data.
func completeCopy(t testing.TB, folder string, data []byte, chunkSize int64) *Copy {
	t.Helper()
	s, err := NewStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Open(contract.ManifestOf(data, chunkSize))
	if err != nil {
		t.Fatal(err)
	}
	writeMissing(t, c, data)
	return c
}

// writeMissing writes the chunks that a copy lacks and completes it.
func writeMissing(t testing.TB, c *Copy, data []byte) {
	t.Helper()
	for i := range c.manifest.Chunks() {
		if err := c.Write(i, chunkOf(c.manifest, data, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Complete(); err != nil {
		t.Fatal(err)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// damages are what may happen to the file of a complete copy, and how many of its 4 chunks are valid
// after that.
var damages = []struct {
	name   string
	damage func(path string, data []byte) error
	valid  int
}{
	{"bit flipped", func(path string, data []byte) error {
		raw := bytes.Clone(data)
		raw[testChunkSize] ^= 1
		return os.WriteFile(path, raw, 0o600)
	}, 3},
	{"truncated", func(path string, _ []byte) error { return os.Truncate(path, 2*testChunkSize) }, 2},
	{"longer", func(path string, data []byte) error {
		return os.WriteFile(path, append(bytes.Clone(data), 0), 0o600)
	}, 4},
	{"removed", func(path string, _ []byte) error { return os.Remove(path) }, 0},
	{"replaced", func(path string, data []byte) error {
		if err := os.Remove(path); err != nil {
			return err
		}
		return os.WriteFile(path, make([]byte, len(data)), 0o600)
	}, 0},
}

// A complete copy was not read again until the process restarted. Whatever the disk does to the file
// that the engine opens is found, and the copy is whole again once its corrupt chunks are written.
func TestVerifyFindsDamageOfCompleteCopy(t *testing.T) {
	for _, d := range damages {
		t.Run(d.name, func(t *testing.T) {
			data := testData(4, 0)
			c := completeCopy(t, t.TempDir(), data, testChunkSize)
			if err := c.Verify(context.Background()); err != nil {
				t.Fatalf("a valid copy is reported as %v", err)
			}
			damaged := c.Damaged()
			if isClosed(damaged) {
				t.Error("a valid copy is reported as damaged")
			}
			c.ClearModified()
			if err := d.damage(c.Path(), data); err != nil {
				t.Fatal(err)
			}
			if err := c.Verify(context.Background()); !failure.Is(err, failure.CorruptChunk) {
				t.Errorf("a damaged copy is reported as %v", err)
			}
			if c.IsComplete() || c.Held().Count() != d.valid || !isClosed(damaged) || !c.Modified() {
				t.Errorf("complete %t, %d chunks, damaged %t, modified %t; want false, %d, true, true",
					c.IsComplete(), c.Held().Count(), isClosed(damaged), c.Modified(), d.valid)
			}
			if _, err := os.Stat(c.Path()); !os.IsNotExist(err) {
				t.Errorf("the damaged file kept its final name: %v", err)
			}
			writeMissing(t, c, data)
			raw, err := os.ReadFile(c.Path())
			if err != nil || !bytes.Equal(raw, data) || isClosed(c.Damaged()) {
				t.Errorf("after the repair: %d bytes, %v, damaged %t", len(raw), err, isClosed(c.Damaged()))
			}
		})
	}
}

// A verification that the process ends, or of a copy that is removed meanwhile, must not take chunks
// away: the files would be downloaded again.
func TestVerifyThatEndsEarlyKeepsTheCopy(t *testing.T) {
	data := testData(4, 0)
	c := completeCopy(t, t.TempDir(), data, testChunkSize)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := c.Verify(ctx); !errors.Is(err, context.Canceled) || !c.IsComplete() {
		t.Errorf("canceled verification: %v, complete %t", err, c.IsComplete())
	}
	if err := c.remove(); err != nil {
		t.Fatal(err)
	}
	if err := c.Verify(context.Background()); !failure.Is(err, failure.NotReady) {
		t.Errorf("verification of a removed copy: %v", err)
	}
}

// An engine may have loaded the file before a repair that a kill of the process interrupted, so a copy
// counts as modified until it has been found complete at a start.
func TestModifiedOutlivesInterruptedRepair(t *testing.T) {
	folder, data := t.TempDir(), testData(4, 0)
	c := completeCopy(t, folder, data, testChunkSize)
	if _, reopened := openCopy(t, folder, c.manifest); reopened.Modified() {
		t.Error("a complete copy counts as modified at its start")
	}
	if err := os.Truncate(c.Path(), 2*testChunkSize); err != nil {
		t.Fatal(err)
	}
	if err := c.Verify(context.Background()); !failure.Is(err, failure.CorruptChunk) {
		t.Fatal(err)
	}
	for i := range c.manifest.Chunks() {
		if err := c.Write(i, chunkOf(c.manifest, data, i)); err != nil {
			t.Fatal(err)
		}
	}
	if _, reopened := openCopy(t, folder, c.manifest); !reopened.Held().Full() || !reopened.Modified() {
		t.Errorf("after the restart %d chunks are held, modified %t", reopened.Held().Count(), reopened.Modified())
	}
}

// A chunk that is corrupt on disk was refused to others for ever, by a copy that counted as complete.
func TestReadOfCorruptChunkMakesCopyIncomplete(t *testing.T) {
	data := testData(4, 0)
	c := completeCopy(t, t.TempDir(), data, testChunkSize)
	damaged := c.Damaged()
	if _, err := c.Read(2); err != nil || !c.IsComplete() {
		t.Fatalf("a valid copy: %v, complete %t", err, c.IsComplete())
	}
	raw := bytes.Clone(data)
	raw[2*testChunkSize] ^= 1
	if err := os.WriteFile(c.Path(), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(1); err != nil || !c.IsComplete() {
		t.Errorf("a valid chunk of a damaged copy: %v, complete %t", err, c.IsComplete())
	}
	if _, err := c.Read(2); !failure.Is(err, failure.CorruptChunk) {
		t.Errorf("a corrupt chunk is read with %v", err)
	}
	if c.IsComplete() || c.Has(2) || c.Held().Count() != 3 || !isClosed(damaged) {
		t.Errorf("complete %t, %d chunks, damaged %t", c.IsComplete(), c.Held().Count(), isClosed(damaged))
	}
	if _, err := c.Read(3); err != nil {
		t.Errorf("a valid chunk of an incomplete copy: %v", err)
	}
	writeMissing(t, c, data)
	if chunk, err := c.Read(2); err != nil || !bytes.Equal(chunk, chunkOf(c.manifest, data, 2)) {
		t.Errorf("after the repair: %v", err)
	}
}

// Chunks are sent to other agents while a damaged copy is verified and repaired. Either the reader or
// the verification finds the damage.
func TestReadDuringVerify(t *testing.T) {
	data := testData(4, 0)
	c := completeCopy(t, t.TempDir(), data, testChunkSize)
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() {
			for !isClosed(stop) {
				if chunk, err := c.Read(2); err == nil && !bytes.Equal(chunk, chunkOf(c.manifest, data, 2)) {
					t.Error("a corrupt chunk was read")
				}
			}
		})
	}
	for range 20 {
		raw := bytes.Clone(data)
		raw[2*testChunkSize] ^= 1
		if err := os.WriteFile(c.Path(), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		err := c.Verify(context.Background())
		if !failure.Is(err, failure.CorruptChunk) && !failure.Is(err, failure.NotReady) {
			t.Errorf("a damaged copy is reported as %v", err)
		}
		if c.IsComplete() || c.Has(2) || c.Held().Count() != 3 {
			t.Errorf("a damaged copy is complete %t with %d chunks", c.IsComplete(), c.Held().Count())
		}
		writeMissing(t, c, data)
	}
	close(stop)
	readers.Wait()
}

// What the verification before and the one after each load cost.
func BenchmarkVerify(b *testing.B) {
	const size, chunkSize = 256 << 20, 4 << 20
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(i * 7)
	}
	c := completeCopy(b, b.TempDir(), data, chunkSize)
	b.SetBytes(size)
	b.ResetTimer()
	for range b.N {
		if err := c.Verify(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
