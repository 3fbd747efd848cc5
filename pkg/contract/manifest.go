// ================================================================
// The manifest of one version of a model: chunks of a fixed size, each with
// its digest. The digest of the manifest is the version.
//
//	menu v7: 1 GiB in 256 chunks of 4 MiB -> 3f2a91c07be4...
// ================================================================

package contract

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
)

// MaxChunks bounds a manifest, and so the largest object of the control log
// (16,384 digests are 544 KiB).
const MaxChunks = 16384

// Manifest lists the chunks of one version.
//
//wire:generate
type Manifest struct {
	// size is the length of the whole copy in bytes.
	size int64
	// chunkSize is the length of every chunk but the last, in bytes.
	chunkSize int64
	// chunks are the digests of the chunks in order.
	chunks []Digest
}

// ManifestOf cuts data into chunks.
func ManifestOf(data []byte, chunkSize int64) Manifest {
	m := Manifest{size: int64(len(data)), chunkSize: chunkSize}
	for start := int64(0); start < m.size; start += chunkSize {
		m.chunks = append(m.chunks, DigestOf(data[start:min(start+chunkSize, m.size)]))
	}
	return m
}

// Digest returns the digest of the manifest: the version.
func (m Manifest) Digest() Digest {
	raw, err := msgpack.Marshal(m)
	if err != nil {
		// Encoding three plain fields into memory cannot fail.
		panic(err)
	}
	return DigestOf(raw)
}

// ChunkRange returns where chunk i lies, as offset and length in bytes.
func (m Manifest) ChunkRange(i int) (offset, length int64) {
	offset = int64(i) * m.chunkSize
	return offset, min(m.chunkSize, m.size-offset)
}

// Validate refuses a manifest whose chunks do not add up to its size.
func (m Manifest) Validate() error {
	if m.size <= 0 || m.chunkSize <= 0 {
		return failure.New(failure.BadDocument, "manifest with size %d and chunk size %d", m.size, m.chunkSize)
	}
	want := (m.size + m.chunkSize - 1) / m.chunkSize
	if int64(len(m.chunks)) != want || want > MaxChunks {
		return failure.New(failure.BadDocument, "manifest with %d chunks, not %d (at most %d)", len(m.chunks), want, MaxChunks)
	}
	return nil
}
