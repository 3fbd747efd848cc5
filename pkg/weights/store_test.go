package weights

import (
	"bytes"
	"os"
	"testing"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
)

const testChunkSize = 64

// testData returns data in which each chunk differs.
func testData(chunks int, salt byte) []byte {
	data := make([]byte, chunks*testChunkSize-5)
	for i := range data {
		data[i] = byte(i/testChunkSize)*7 + byte(i%testChunkSize) + salt
	}
	return data
}

func chunkOf(m contract.Manifest, data []byte, i int) []byte {
	offset, length := m.ChunkRange(i)
	return data[offset : offset+length]
}

func openCopy(t *testing.T, folder string, m contract.Manifest) (*Store, *Copy) {
	t.Helper()
	s, err := NewStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Open(m)
	if err != nil {
		t.Fatal(err)
	}
	return s, c
}

func TestCopyResumesWithVerifiedChunks(t *testing.T) {
	folder := t.TempDir()
	data := testData(6, 0)
	m := contract.ManifestOf(data, testChunkSize)
	_, c := openCopy(t, folder, m)
	for _, i := range []int{0, 2, 5} {
		if err := c.Write(i, chunkOf(m, data, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Write(1, []byte("other bytes")); !failure.Is(err, failure.CorruptChunk) {
		t.Errorf("write of a corrupt chunk returned %v", err)
	}
	if err := c.Complete(); err == nil {
		t.Error("a partial copy was completed")
	}
	// The disk flips a bit of chunk 2 while the process is down.
	raw, err := os.ReadFile(c.path(partialSuffix))
	if err != nil {
		t.Fatal(err)
	}
	raw[2*testChunkSize] ^= 1
	if err := os.WriteFile(c.path(partialSuffix), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	_, reopened := openCopy(t, folder, m)
	held := reopened.Held()
	if !held.Has(0) || held.Has(1) || held.Has(2) || !held.Has(5) || held.Count() != 2 {
		t.Errorf("after the restart %d chunks are held", held.Count())
	}
}

func TestCompleteCopyMatchesTheManifest(t *testing.T) {
	folder := t.TempDir()
	data := testData(4, 0)
	m := contract.ManifestOf(data, testChunkSize)
	_, c := openCopy(t, folder, m)
	for i := range m.Chunks() {
		if err := c.Write(i, chunkOf(m, data, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Complete(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(c.Path())
	if err != nil || !bytes.Equal(raw, data) {
		t.Fatalf("%d bytes on disk, %v", len(raw), err)
	}
	// A copy that was damaged while the process was down is partial again.
	raw[0] ^= 1
	if err := os.WriteFile(c.Path(), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	_, reopened := openCopy(t, folder, m)
	if reopened.IsComplete() || reopened.Held().Count() != 3 {
		t.Errorf("damaged copy: complete %t, with %d chunks", reopened.IsComplete(), reopened.Held().Count())
	}
}

func TestNewVersionReusesSharedChunks(t *testing.T) {
	folder := t.TempDir()
	old := testData(4, 0)
	changed := append([]byte(nil), old...)
	changed[testChunkSize] ^= 1
	m1, m2 := contract.ManifestOf(old, testChunkSize), contract.ManifestOf(changed, testChunkSize)
	s, c1 := openCopy(t, folder, m1)
	for i := range m1.Chunks() {
		if err := c1.Write(i, chunkOf(m1, old, i)); err != nil {
			t.Fatal(err)
		}
	}
	c2, err := s.Open(m2)
	if err != nil {
		t.Fatal(err)
	}
	if held := c2.Held(); held.Count() != 3 || held.Has(1) {
		t.Errorf("%d chunks were copied from the old version", held.Count())
	}
}
