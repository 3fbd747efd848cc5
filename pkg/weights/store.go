// ================================================================
// The copies of weights on one VM, under its data folder.
//
//	weights/3f2a91c07be4....partial   chunks arrive here, each at its offset
//	weights/3f2a91c07be4....weights   whole, verified, synced and renamed
//
// A name without ".partial" is a promise that every chunk was verified and
// synced. After a restart a partial file is read again and each chunk checked
// against its digest; nothing that memory knew is trusted.
// ================================================================

// Package weights keeps copies of weights on a VM: verified chunk by chunk,
// completed by a synced rename, resumed after a restart.
package weights

import (
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/spread"
)

const (
	partialSuffix = ".partial"
	wholeSuffix   = ".weights"
	folderMode    = 0o750
	fileMode      = 0o640
)

// Store holds the copies of one VM.
type Store struct {
	folder string
	// SkipVerify is a seeded fault: chunks are taken whatever their digest.
	SkipVerify bool

	mu     sync.Mutex
	copies map[contract.Digest]*Copy
}

// Copy is one copy, whole or in the making. Its methods may be called by
// several goroutines.
type Copy struct {
	manifest contract.Manifest
	digest   contract.Digest
	folder   string
	// verify checks bytes against the digest of a chunk.
	verify func(i int, data []byte) bool

	mu    sync.RWMutex
	file  *os.File
	held  spread.Bitmap
	whole bool
}

// NewStore opens the folder of copies.
func NewStore(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, failure.New(failure.DiskFailed, "create %s: %v", folder, err)
	}
	return &Store{folder: folder, copies: map[contract.Digest]*Copy{}}, nil
}

// Open returns the copy of a manifest. What is on disk of it is verified and
// kept; chunks that other copies hold already are taken from there.
func (s *Store) Open(m contract.Manifest) (*Copy, error) {
	digest := m.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.copies[digest]; c != nil {
		return c, nil
	}
	c := &Copy{manifest: m, digest: digest, folder: s.folder, held: spread.NewBitmap(len(m.Chunks()))}
	c.verify = c.matches
	if s.SkipVerify {
		c.verify = func(int, []byte) bool { return true }
	}
	if err := c.open(); err != nil {
		return nil, err
	}
	s.takeFromOthers(c)
	s.copies[digest] = c
	return c, nil
}

// Find returns a copy that is open; nil when there is none.
func (s *Store) Find(d contract.Digest) *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies[d]
}

// Remove deletes a copy and its files.
func (s *Store) Remove(d contract.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[d]
	if c == nil {
		return nil
	}
	delete(s.copies, d)
	return c.remove()
}

// Leftovers returns the digests on disk that are not open, for eviction.
func (s *Store) Leftovers() ([]contract.Digest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, failure.New(failure.DiskFailed, "list %s: %v", s.folder, err)
	}
	var digests []contract.Digest
	for _, e := range entries {
		name := strings.TrimSuffix(strings.TrimSuffix(e.Name(), partialSuffix), wholeSuffix)
		if d, err := contract.ParseDigest(name); err == nil && s.copies[d] == nil {
			digests = append(digests, d)
		}
	}
	return digests, nil
}

// RemoveLeftover deletes the files of a digest that is not open.
func (s *Store) RemoveLeftover(d contract.Digest) error {
	c := &Copy{digest: d, folder: s.folder}
	return c.remove()
}

// takeFromOthers copies chunks that another open copy holds: a new version
// that shares chunks with the old one, or an adapter beside its base.
func (s *Store) takeFromOthers(c *Copy) {
	if c.whole {
		return
	}
	wanted := map[contract.Digest][]int{}
	for i, d := range c.manifest.Chunks() {
		if !c.held.Has(i) {
			wanted[d] = append(wanted[d], i)
		}
	}
	for _, other := range s.copies {
		for j, d := range other.manifest.Chunks() {
			if len(wanted[d]) == 0 || !other.Has(j) {
				continue
			}
			data, err := other.Read(j)
			if err != nil {
				continue
			}
			for _, i := range wanted[d] {
				_ = c.Write(i, data)
			}
			delete(wanted, d)
		}
	}
}

// ----------------------------------------------------------------
// One copy

func (c *Copy) path(suffix string) string {
	return filepath.Join(c.folder, c.digest.String()+suffix)
}

func (c *Copy) matches(i int, data []byte) bool {
	return contract.DigestOf(data) == c.manifest.Chunks()[i]
}

// Path returns where the whole copy lies.
func (c *Copy) Path() string { return c.path(wholeSuffix) }

// Manifest returns the manifest of the copy.
func (c *Copy) Manifest() contract.Manifest { return c.manifest }

// Digest returns the manifest's digest.
func (c *Copy) Digest() contract.Digest { return c.digest }

// open reads what the disk holds, whole or partial.
func (c *Copy) open() error {
	if f, err := os.OpenFile(c.path(wholeSuffix), os.O_RDWR, fileMode); err == nil {
		c.file = f
		c.verifyAll()
		c.whole = c.held.Full()
		if c.whole {
			return nil
		}
		// The disk damaged what was whole: what still verifies is kept.
		if err := os.Rename(c.path(wholeSuffix), c.path(partialSuffix)); err != nil {
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

// verifyAll reads every chunk from disk and holds those that verify.
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

// Write verifies and stores a chunk. Bytes with another digest are refused
// with CorruptChunk and nothing is written.
func (c *Copy) Write(i int, data []byte) error {
	if i < 0 || i >= len(c.manifest.Chunks()) {
		return failure.New(failure.BadRequest, "chunk %d of %d", i, len(c.manifest.Chunks()))
	}
	if !c.verify(i, data) {
		return failure.New(failure.CorruptChunk, "chunk %d of %s", i, c.digest.Short())
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

// Has tells whether a chunk is verified here.
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

// Read returns a held chunk, verified once more: a disk may have damaged it,
// and a bad chunk is never passed on.
func (c *Copy) Read(i int) ([]byte, error) {
	if !c.Has(i) {
		return nil, failure.New(failure.NotReady, "chunk %d of %s is not here", i, c.digest.Short())
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
		return nil, failure.New(failure.CorruptChunk, "chunk %d of %s on this VM's disk", i, c.digest.Short())
	}
	return data, nil
}

// Whole tells whether the copy is complete and renamed into place.
func (c *Copy) Whole() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.whole
}

// Complete syncs a full copy and renames it into place. Every chunk is read
// back and verified first, since it is the file that the engine will load.
func (c *Copy) Complete() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole {
		return nil
	}
	if !c.held.Full() {
		return failure.New(failure.NotReady, "%d of %d chunks of %s are here", c.held.Count(), c.held.Total(), c.digest.Short())
	}
	if err := c.file.Sync(); err != nil {
		return failure.New(failure.DiskFailed, "sync %s: %v", c.digest.Short(), err)
	}
	if err := c.dropDamaged(); err != nil {
		return err
	}
	if err := os.Rename(c.path(partialSuffix), c.path(wholeSuffix)); err != nil {
		return failure.New(failure.DiskFailed, "rename %s: %v", c.digest.Short(), err)
	}
	if err := syncFolder(c.folder); err != nil {
		return err
	}
	c.whole = true
	return nil
}

// dropDamaged forgets held chunks that no longer verify.
func (c *Copy) dropDamaged() error {
	good := spread.NewBitmap(c.held.Total())
	for i := range c.manifest.Chunks() {
		if _, err := c.readVerified(i); err == nil {
			good.Add(i)
		}
	}
	c.held = good
	if !good.Full() {
		return failure.New(failure.CorruptChunk, "%d chunks of %s were damaged on this VM's disk",
			good.Total()-good.Count(), c.digest.Short())
	}
	return nil
}

func (c *Copy) remove() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.file != nil {
		_ = c.file.Close()
	}
	c.whole = false
	c.held = spread.NewBitmap(c.held.Total())
	for _, suffix := range []string{partialSuffix, wholeSuffix} {
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
