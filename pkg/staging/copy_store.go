// ================================================================
// The copies of a cache on disk: one file per model, replaced atomically, with the SHA-256 of its
// content before it: the digests of the chunks do not cover the manifest that contains them. Files are
// verified when they are read, since a power loss or the disk can corrupt them. A failed write is
// retried, and the copy in memory remains available.
// ================================================================

package staging

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/daemon"
	"github.com/tidepost/tidepost/pkg/disk"
)

const (
	// copySuffix is the file name suffix of a stored copy.
	copySuffix = ".copy"
	// storeRetryInterval is the longest time between attempts to store a pending copy.
	storeRetryInterval = 2 * time.Second
)

// storedCopy is the content of a copy's file.
//
//wire:generate
type storedCopy struct {
	// manifest lists the digests of the chunks.
	manifest Manifest
	// chunks are all chunks, in order.
	chunks [][]byte
}

// copyStore stores copies in a folder. Only run writes them, so a hung disk does not block the
// cache.
type copyStore struct {
	open   func() (*disk.Folder, error)
	logger log.Logger
	wake   chan struct{}

	mu      sync.Mutex
	folder  *disk.Folder
	pending map[string]*weightsCopy // by model
	stored  map[string]uint64       // version by model
}

func newCopyStore(open func() (*disk.Folder, error), logger log.Logger) *copyStore {
	return &copyStore{
		open: open, logger: logger, wake: make(chan struct{}, 1),
		pending: map[string]*weightsCopy{}, stored: map[string]uint64{},
	}
}

// enqueue schedules the storing of a complete copy.
func (s *copyStore) enqueue(c *weightsCopy) {
	if s.open == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stored[c.manifest.model] >= c.manifest.version {
		return
	}
	s.pending[c.manifest.model] = c
	daemon.Wake(s.wake)
}

// run stores pending copies until the context ends.
func (s *copyStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-time.After(storeRetryInterval):
		}
		for _, c := range s.takePending() {
			if err := s.write(c); err != nil {
				_ = level.Warn(s.logger).Log("msg", "copy not stored", "model", c.manifest.model, "version", c.manifest.version, "err", err)
				s.requeue(c)
			}
		}
	}
}

func (s *copyStore) takePending() []*weightsCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	var copies []*weightsCopy
	for _, c := range s.pending {
		copies = append(copies, c)
	}
	s.pending = map[string]*weightsCopy{}
	return copies
}

// requeue schedules another attempt, unless a later copy is pending.
func (s *copyStore) requeue(c *weightsCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[c.manifest.model] == nil {
		s.pending[c.manifest.model] = c
	}
}

func (s *copyStore) write(c *weightsCopy) error {
	folder, err := s.openFolder()
	if err != nil {
		return err
	}
	stored := storedCopy{manifest: c.manifest}
	for number := range c.manifest.digests {
		stored.chunks = append(stored.chunks, c.get(number))
	}
	content, err := msgpack.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode stored copy")
	}
	data := addChecksum(content)
	if err := folder.Replace(fileName(c.manifest.model), data); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored[c.manifest.model] = max(s.stored[c.manifest.model], c.manifest.version)
	_ = level.Info(s.logger).Log("msg", "copy stored", "model", c.manifest.model, "version", c.manifest.version, "bytes", len(data))
	return nil
}

func (s *copyStore) openFolder() (*disk.Folder, error) {
	s.mu.Lock()
	folder := s.folder
	s.mu.Unlock()
	if folder != nil {
		return folder, nil
	}
	folder, err := s.open()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folder = folder
	return folder, nil
}

// fileName returns the file name of a model's copy.
func fileName(model string) string { return url.PathEscape(model) + copySuffix }

// load returns the valid copies on disk. It logs and skips the others.
func (s *copyStore) load() []*weightsCopy {
	if s.open == nil {
		return nil
	}
	folder, err := s.openFolder()
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "stored copies not read", "err", err)
		return nil
	}
	names, err := folder.List()
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "stored copies not read", "err", err)
		return nil
	}
	var copies []*weightsCopy
	for _, name := range names {
		if !strings.HasSuffix(name, copySuffix) {
			continue
		}
		c, err := s.read(folder, name)
		if err != nil {
			_ = level.Warn(s.logger).Log("msg", "stored copy not used", "file", name, "err", err)
			continue
		}
		s.mu.Lock()
		s.stored[c.manifest.model] = c.manifest.version
		s.mu.Unlock()
		copies = append(copies, c)
	}
	return copies
}

// read reads one copy and verifies every chunk.
func (s *copyStore) read(folder *disk.Folder, name string) (*weightsCopy, error) {
	data, err := folder.Read(name)
	if err != nil {
		return nil, err
	}
	content, err := verifyChecksum(data)
	if err != nil {
		return nil, err
	}
	var stored storedCopy
	if err := msgpack.Unmarshal(content, &stored); err != nil {
		return nil, errors.Wrap(err, "decode stored copy")
	}
	if len(stored.chunks) != len(stored.manifest.digests) {
		return nil, errors.Errorf("stored copy has %d chunks for %d digests", len(stored.chunks), len(stored.manifest.digests))
	}
	c := newCopy(stored.manifest)
	for number, chunk := range stored.chunks {
		if _, err := c.add(number, chunk); err != nil {
			return nil, err
		}
	}
	_ = level.Info(s.logger).Log("msg", "stored copy read", "model", c.manifest.model, "version", c.manifest.version)
	return c, nil
}

// addChecksum returns a content behind its SHA-256.
func addChecksum(content []byte) []byte {
	sum := sha256.Sum256(content)
	return append(sum[:], content...)
}

// verifyChecksum returns the content of addChecksum's result. It fails if the two do not match.
func verifyChecksum(data []byte) ([]byte, error) {
	if len(data) < sha256.Size {
		return nil, errors.Errorf("stored copy has %d bytes", len(data))
	}
	content := data[sha256.Size:]
	if sum := sha256.Sum256(content); !bytes.Equal(sum[:], data[:sha256.Size]) {
		return nil, errors.New("stored copy does not match its checksum; the weights are downloaded again")
	}
	return content, nil
}
