// ================================================================
// Content addresses. Weights are transferred by digest only, so that a version
// that changes at the origin during a copy gives a digest mismatch and never a
// copy of mixed versions.
// ================================================================

// Package contract holds the messages that the system's processes exchange
// and the configuration objects that they agree on.
package contract

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
)

// shortDigestLength is how many hexadecimal digits Short shows.
const shortDigestLength = 12

// Digest is a SHA-256 sum.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest reads the hexadecimal form. Its error is a BadRequest failure.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, failure.New(failure.BadRequest, "%q is not a digest of %d hexadecimal digits", text, 2*len(d))
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the hexadecimal form.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first hexadecimal digits, for display.
func (d Digest) Short() string { return d.String()[:shortDigestLength] }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// EncodeMsgpack writes the digest as bytes.
func (d Digest) EncodeMsgpack(e *msgpack.Encoder) error { return e.EncodeBytes(d[:]) }

// DecodeMsgpack reads the digest and refuses bytes of another length.
func (d *Digest) DecodeMsgpack(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(raw) != len(d) {
		return failure.New(failure.BadRequest, "a digest has %d bytes, not %d", len(raw), len(d))
	}
	copy(d[:], raw)
	return nil
}
