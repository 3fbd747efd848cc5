// ================================================================
// The copies of weights on one VM, in its data folder.
//
//	weights/3f2a91c07be4....partial   incomplete; each chunk is written at its offset
//	weights/3f2a91c07be4....weights   complete, verified, synced and renamed
//
// A file is renamed to ".weights" only after every chunk was verified and synced. After a restart
// each file is read again and each chunk is checked against its digest; no state in memory is
// trusted. Copy.Verify does the same for a copy that is complete: the disk may damage it at any time.
// ================================================================

// Package weights keeps copies of weights on a VM. Chunks are verified one by one, a synced rename
// completes a copy, and partial copies are resumed after a restart.
package weights

import (
	"os"
	"strings"
	"sync"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/spread"
)

const (
	partialSuffix  = ".partial"
	completeSuffix = ".weights"
	folderMode     = 0o750
	fileMode       = 0o640
)

// Store holds the copies of one VM.
type Store struct {
	folder string
	// SkipVerify injects a fault for tests: chunks are accepted whatever their digest.
	SkipVerify bool

	mu     sync.Mutex
	copies map[contract.Digest]*Copy
}

// Copy is a complete or partial copy. It is safe for concurrent use.
type Copy struct {
	manifest contract.Manifest
	digest   contract.Digest
	folder   string
	// verify reports whether data matches the digest of a chunk.
	verify func(i int, data []byte) bool

	mu       sync.RWMutex
	file     *os.File
	held     spread.Bitmap
	complete bool
	// verifiedAt is the end of the last verification that found the complete file valid.
	verifiedAt time.Time
	// damaged is closed when a verification finds the complete file damaged.
	damaged chan struct{}
	// modified reports that the file was incomplete or written since ClearModified.
	modified bool
}

// NewStore opens the folder of copies and creates it if necessary.
func NewStore(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, failure.New(failure.DiskFailed, "create %s: %v", folder, err)
	}
	return &Store{folder: folder, copies: map[contract.Digest]*Copy{}}, nil
}

// Open returns the copy of a manifest. It verifies and keeps the chunks on disk, and copies chunks
// that other open copies hold.
func (s *Store) Open(m contract.Manifest) (*Copy, error) {
	digest := m.Digest()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.copies[digest]; c != nil {
		return c, nil
	}
	c := &Copy{manifest: m, digest: digest, folder: s.folder, held: spread.NewBitmap(len(m.Chunks()))}
	c.verify = c.matchesDigest
	if s.SkipVerify {
		c.verify = func(int, []byte) bool { return true }
	}
	if err := c.open(); err != nil {
		return nil, err
	}
	s.copySharedChunks(c)
	s.copies[digest] = c
	return c, nil
}

// Find returns a copy that is open; nil if there is none.
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

// UnopenedCopies returns the digests of copies on disk that are not open, for eviction.
func (s *Store) UnopenedCopies() ([]contract.Digest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, failure.New(failure.DiskFailed, "list %s: %v", s.folder, err)
	}
	var digests []contract.Digest
	for _, e := range entries {
		name := strings.TrimSuffix(strings.TrimSuffix(e.Name(), partialSuffix), completeSuffix)
		if d, err := contract.ParseDigest(name); err == nil && s.copies[d] == nil {
			digests = append(digests, d)
		}
	}
	return digests, nil
}

// RemoveUnopenedCopy deletes the files of a copy that is not open.
func (s *Store) RemoveUnopenedCopy(d contract.Digest) error {
	c := &Copy{digest: d, folder: s.folder}
	return c.remove()
}

// copySharedChunks copies chunks that another open copy holds: a new version shares chunks with the
// old one, or an adapter with its base.
func (s *Store) copySharedChunks(c *Copy) {
	if c.complete {
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
