// ================================================================
// One copy on the VM's disk. Chunks are written at their offsets after verification against their
// digests; a full copy is synced, read back and renamed to its final name. A complete copy that
// turns out to be damaged is partial again.
// ================================================================

package weights

import (
	"context"
	"os"
	"path/filepath"
	"time"

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
	f, err := os.OpenFile(c.path(completeSuffix), os.O_RDWR, fileMode)
	if err != nil {
		return c.openPartial()
	}
	c.file = f
	c.held = c.validChunks(f)
	if c.held.Full() && c.hasManifestSize(f) {
		c.markComplete()
		return nil
	}
	return c.demote(c.held)
}

func (c *Copy) openPartial() error {
	f, err := os.OpenFile(c.path(partialSuffix), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return failure.New(failure.DiskFailed, "open copy: %v", err)
	}
	c.file, c.modified = f, true
	c.held = c.validChunks(f)
	return c.reserve(f)
}

// reserve extends or cuts a file to the size of the copy.
func (c *Copy) reserve(f *os.File) error {
	if err := f.Truncate(c.manifest.Size()); err != nil {
		return failure.New(failure.DiskFailed, "reserve %d bytes: %v", c.manifest.Size(), err)
	}
	return nil
}

// hasManifestSize reports whether a file has exactly the size of the copy.
func (c *Copy) hasManifestSize(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Size() == c.manifest.Size()
}

// validChunks reads every chunk from a file and returns those that match their digests.
func (c *Copy) validChunks(f *os.File) spread.Bitmap {
	valid, _ := c.validChunksUntil(context.Background(), f)
	return valid
}

// validChunksUntil is validChunks that ends early with the context's error.
func (c *Copy) validChunksUntil(ctx context.Context, f *os.File) (spread.Bitmap, error) {
	valid := spread.NewBitmap(len(c.manifest.Chunks()))
	buffer := make([]byte, min(c.manifest.ChunkSize(), c.manifest.Size()))
	for i := range c.manifest.Chunks() {
		if err := ctx.Err(); err != nil {
			return valid, err
		}
		if _, err := c.readVerified(f, i, buffer); err == nil {
			valid.Add(i)
		}
	}
	return valid, nil
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
	c.modified = true
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
// chunk must not be sent to others. A complete copy with a corrupt chunk is incomplete from then on.
func (c *Copy) Read(i int) ([]byte, error) {
	c.mu.RLock()
	f, held := c.file, c.held.Has(i)
	c.mu.RUnlock()
	if !held {
		return nil, failure.New(failure.NotReady, "chunk %d of %s is missing", i, c.digest.Short())
	}
	data, err := c.readChunk(f, i)
	if failure.Is(err, failure.CorruptChunk) {
		c.dropCorrupt(i)
	}
	return data, err
}

// dropCorrupt makes a complete copy incomplete if a chunk of it is corrupt. The copy may have been
// repaired since the chunk was read, so the chunk is read again.
func (c *Copy) dropCorrupt(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete {
		return
	}
	if _, err := c.readChunk(c.file, i); err == nil {
		return
	}
	// If the disk fails, the copy stays complete, and the next read tries again.
	_ = c.markDamaged(c.heldWithout(i))
}

// heldWithout returns the held chunks but one.
func (c *Copy) heldWithout(i int) spread.Bitmap {
	rest := spread.NewBitmap(c.held.Total())
	for k := range c.held.Total() {
		if k != i && c.held.Has(k) {
			rest.Add(k)
		}
	}
	return rest
}

func (c *Copy) readChunk(f *os.File, i int) ([]byte, error) {
	_, length := c.manifest.ChunkRange(i)
	return c.readVerified(f, i, make([]byte, length))
}

// readVerified reads a chunk into a buffer, which is at least as long, and returns that part of it.
func (c *Copy) readVerified(f *os.File, i int, buffer []byte) ([]byte, error) {
	offset, length := c.manifest.ChunkRange(i)
	data := buffer[:length]
	if _, err := f.ReadAt(data, offset); err != nil {
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
	c.markComplete()
	return nil
}

func (c *Copy) markComplete() {
	c.complete = true
	c.verifiedAt = time.Now()
	c.damaged = make(chan struct{})
}

// dropDamaged removes the held chunks that are no longer valid.
func (c *Copy) dropDamaged() error {
	c.held = c.validChunks(c.file)
	if !c.held.Full() {
		return c.corruptFailure(c.held)
	}
	return nil
}

func (c *Copy) corruptFailure(valid spread.Bitmap) error {
	if valid.Full() {
		return failure.New(failure.CorruptChunk, "the file of %s has another size than its manifest", c.digest.Short())
	}
	return failure.New(failure.CorruptChunk, "%d of %d chunks of %s were corrupt on this VM's disk",
		valid.Total()-valid.Count(), valid.Total(), c.digest.Short())
}

// VerifiedAt returns the end of the last verification that found a complete copy valid.
func (c *Copy) VerifiedAt() time.Time {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.verifiedAt
}

// Damaged returns a channel that is closed when Verify or Read finds the complete copy damaged.
func (c *Copy) Damaged() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.damaged
}

// Modified reports whether the file was written since the last ClearModified. Without one, it reports
// whether the copy was incomplete at any time since it was opened.
func (c *Copy) Modified() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.modified
}

// ClearModified makes Modified report false until the file is written again.
func (c *Copy) ClearModified() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.modified = false
}

// Verify opens the file of a complete copy again and verifies every chunk and the size. If the file
// is damaged, Verify fails with CorruptChunk, and the copy is incomplete from then on and holds the
// valid chunks. After other errors it is as before: DiskFailed, NotReady if the copy is incomplete,
// and the context's error if that ends first. The copy can be read meanwhile.
func (c *Copy) Verify(ctx context.Context) error {
	if !c.IsComplete() {
		return c.incompleteFailure()
	}
	valid, wholeFile, err := c.readCompleteFile(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete {
		return c.incompleteFailure()
	}
	if wholeFile && valid.Full() {
		c.verifiedAt = time.Now()
		return nil
	}
	if err := c.markDamaged(valid); err != nil {
		return err
	}
	return c.corruptFailure(valid)
}

// markDamaged makes a complete copy incomplete, in which the given chunks are valid. If the disk
// fails, the copy stays complete.
func (c *Copy) markDamaged(valid spread.Bitmap) error {
	close(c.damaged)
	err := c.demote(valid)
	if err != nil {
		c.damaged = make(chan struct{})
	}
	return err
}

func (c *Copy) incompleteFailure() error {
	return failure.New(failure.NotReady, "the copy of %s is incomplete", c.digest.Short())
}

// readCompleteFile returns the valid chunks of the file that the engine would open, and whether the
// file has the right size. A file that is gone has no valid chunks.
func (c *Copy) readCompleteFile(ctx context.Context) (valid spread.Bitmap, wholeFile bool, err error) {
	f, err := os.Open(c.path(completeSuffix))
	if os.IsNotExist(err) {
		return spread.NewBitmap(len(c.manifest.Chunks())), false, nil
	}
	if err != nil {
		return valid, false, failure.New(failure.DiskFailed, "open copy: %v", err)
	}
	defer f.Close()
	valid, err = c.validChunksUntil(ctx, f)
	return valid, c.hasManifestSize(f), err
}

// demote makes the complete file a partial one, in which the given chunks are valid.
func (c *Copy) demote(valid spread.Bitmap) error {
	err := os.Rename(c.path(completeSuffix), c.path(partialSuffix))
	if err != nil && !os.IsNotExist(err) {
		return failure.New(failure.DiskFailed, "rename damaged copy: %v", err)
	}
	f, err := os.OpenFile(c.path(partialSuffix), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return failure.New(failure.DiskFailed, "open copy: %v", err)
	}
	if err := c.reserve(f); err != nil {
		_ = f.Close()
		return err
	}
	_ = c.file.Close()
	c.file, c.held, c.complete, c.modified = f, valid, false, true
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
