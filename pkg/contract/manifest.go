// ================================================================
// The manifest of one version of a model lists its chunks of fixed size by
// digest. The digest of the manifest identifies the version.
//
//	menu v7: 1 GiB in 256 chunks of 4 MiB -> 3f2a91c07be4...
// ================================================================

package contract

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
)

// MaxChunks is the most chunks of a manifest. It limits the largest object of the control
// log: 16,384 digests take 544 KiB.
const MaxChunks = 16384

// Manifest lists the chunks of one version.
//
//wire:generate
type Manifest struct {
	// size is the size of the copy in bytes.
	size int64
	// chunkSize is the size of every chunk but the last, in bytes.
	chunkSize int64
	// chunks are the digests of the chunks in order.
	chunks []Digest
}

// ManifestOf returns the manifest of data, divided into chunks of chunkSize bytes.
func ManifestOf(data []byte, chunkSize int64) Manifest {
	m := Manifest{size: int64(len(data)), chunkSize: chunkSize}
	for start := int64(0); start < m.size; start += chunkSize {
		m.chunks = append(m.chunks, DigestOf(data[start:min(start+chunkSize, m.size)]))
	}
	return m
}

// Digest returns the digest of the manifest, which identifies the version.
func (m Manifest) Digest() Digest {
	raw, err := msgpack.Marshal(m)
	if err != nil {
		// Encoding three plain fields into memory cannot fail.
		panic(err)
	}
	return DigestOf(raw)
}

// ChunkRange returns the offset and the length of chunk i in bytes.
func (m Manifest) ChunkRange(i int) (offset, length int64) {
	offset = int64(i) * m.chunkSize
	return offset, min(m.chunkSize, m.size-offset)
}

// Validate returns a BadDocument failure if the number of chunks does not match the size
// or exceeds MaxChunks.
func (m Manifest) Validate() error {
	if m.size <= 0 || m.chunkSize <= 0 {
		return failure.New(failure.BadDocument, "manifest with invalid size %d or chunk size %d", m.size, m.chunkSize)
	}
	want := (m.size + m.chunkSize - 1) / m.chunkSize
	if int64(len(m.chunks)) != want || want > MaxChunks {
		return failure.New(failure.BadDocument, "manifest with %d chunks, not %d (at most %d)", len(m.chunks), want, MaxChunks)
	}
	return nil
}
