// ================================================================
// One copy on the VM's disk. Chunks are written at their offsets after verification against their
// digests; a full copy is synced, read back and renamed to its final name.
// ================================================================

package weights

import (
	"os"
	"path/filepath"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/spread"
)

func (c *Copy) path(suffix string) string {
	return filepath.Join(c.folder, c.digest.String()+suffix)
}

func (c *Copy) matchesDigest(i int, data []byte) bool {
	return contract.DigestOf(data) == c.manifest.Chunks()[i]
}

// Path returns the file of the complete copy.
func (c *Copy) Path() string { return c.path(completeSuffix) }

// Manifest returns the manifest of the copy.
func (c *Copy) Manifest() contract.Manifest { return c.manifest }

// Digest returns the manifest's digest.
func (c *Copy) Digest() contract.Digest { return c.digest }

// open opens the complete or partial file and verifies its chunks.
func (c *Copy) open() error {
	if f, err := os.OpenFile(c.path(completeSuffix), os.O_RDWR, fileMode); err == nil {
		c.file = f
		c.verifyAll()
		c.complete = c.held.Full()
		if c.complete {
			return nil
		}
		// The disk damaged a complete copy; the chunks that are still valid are kept.
		if err := os.Rename(c.path(completeSuffix), c.path(partialSuffix)); err != nil {
			return failure.New(failure.DiskFailed, "rename damaged copy: %v", err)
		}
		return nil
	}
	f, err := os.OpenFile(c.path(partialSuffix), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return failure.New(failure.DiskFailed, "open copy: %v", err)
	}
	c.file = f
	c.verifyAll()
	if err := f.Truncate(c.manifest.Size()); err != nil {
		return failure.New(failure.DiskFailed, "reserve %d bytes: %v", c.manifest.Size(), err)
	}
	return nil
}

// verifyAll reads every chunk from disk and marks the valid ones as held.
func (c *Copy) verifyAll() {
	info, err := c.file.Stat()
	if err != nil || info.Size() == 0 {
		return
	}
	for i := range c.manifest.Chunks() {
		if _, err := c.readVerified(i); err == nil {
			c.held.Add(i)
		}
	}
}

// Write verifies and stores a chunk. It refuses data with another digest with CorruptChunk and
// writes nothing then.
func (c *Copy) Write(i int, data []byte) error {
	if i < 0 || i >= len(c.manifest.Chunks()) {
		return failure.New(failure.BadRequest, "chunk %d is out of range: the copy has %d chunks", i, len(c.manifest.Chunks()))
	}
	if !c.verify(i, data) {
		return failure.New(failure.CorruptChunk, "chunk %d of %s does not match its digest", i, c.digest.Short())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held.Has(i) {
		return nil
	}
	offset, _ := c.manifest.ChunkRange(i)
	if _, err := c.file.WriteAt(data, offset); err != nil {
		return failure.New(failure.DiskFailed, "write chunk %d of %s: %v", i, c.digest.Short(), err)
	}
	c.held.Add(i)
	return nil
}

// Has reports whether a verified chunk is stored.
func (c *Copy) Has(i int) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.held.Has(i)
}

// Held returns the verified chunks.
func (c *Copy) Held() spread.Bitmap {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return spread.BitmapOf(c.held.Bytes(), c.held.Total())
}

// Read returns a held chunk after another verification: the disk may have damaged it, and a corrupt
// chunk must not be sent to others.
func (c *Copy) Read(i int) ([]byte, error) {
	if !c.Has(i) {
		return nil, failure.New(failure.NotReady, "chunk %d of %s is missing", i, c.digest.Short())
	}
	return c.readVerified(i)
}

func (c *Copy) readVerified(i int) ([]byte, error) {
	offset, length := c.manifest.ChunkRange(i)
	data := make([]byte, length)
	if _, err := c.file.ReadAt(data, offset); err != nil {
		return nil, failure.New(failure.DiskFailed, "read chunk %d of %s: %v", i, c.digest.Short(), err)
	}
	if !c.verify(i, data) {
		return nil, failure.New(failure.CorruptChunk, "chunk %d of %s is corrupt on this VM's disk", i, c.digest.Short())
	}
	return data, nil
}

// IsComplete reports whether the copy is complete and renamed to its final name.
func (c *Copy) IsComplete() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.complete
}

// Complete syncs a full copy and renames it to its final name. It first reads back and verifies
// every chunk, since the engine loads this file.
func (c *Copy) Complete() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.complete {
		return nil
	}
	if !c.held.Full() {
		return failure.New(failure.NotReady, "%d of %d chunks of %s are present", c.held.Count(), c.held.Total(), c.digest.Short())
	}
	if err := c.file.Sync(); err != nil {
		return failure.New(failure.DiskFailed, "sync %s: %v", c.digest.Short(), err)
	}
	if err := c.dropDamaged(); err != nil {
		return err
	}
	if err := os.Rename(c.path(partialSuffix), c.path(completeSuffix)); err != nil {
		return failure.New(failure.DiskFailed, "rename %s: %v", c.digest.Short(), err)
	}
	if err := syncFolder(c.folder); err != nil {
		return err
	}
	c.complete = true
	return nil
}

// dropDamaged removes the held chunks that are no longer valid.
func (c *Copy) dropDamaged() error {
	valid := spread.NewBitmap(c.held.Total())
	for i := range c.manifest.Chunks() {
		if _, err := c.readVerified(i); err == nil {
			valid.Add(i)
		}
	}
	c.held = valid
	if !valid.Full() {
		return failure.New(failure.CorruptChunk, "%d chunks of %s were corrupt on this VM's disk",
			valid.Total()-valid.Count(), c.digest.Short())
	}
	return nil
}

func (c *Copy) remove() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file != nil {
		_ = c.file.Close()
	}
	c.complete = false
	c.held = spread.NewBitmap(c.held.Total())
	for _, suffix := range []string{partialSuffix, completeSuffix} {
		if err := os.Remove(c.path(suffix)); err != nil && !os.IsNotExist(err) {
			return failure.New(failure.DiskFailed, "remove %s: %v", c.digest.Short(), err)
		}
	}
	return nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return failure.New(failure.DiskFailed, "open %s: %v", path, err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return failure.New(failure.DiskFailed, "sync %s: %v", path, err)
	}
	return nil
}
