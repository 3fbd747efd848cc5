// ================================================================
// What may crash a backend server: a request, or one part of its prompt, which other requests share.
//
// The fingerprint of a request identifies its repeated attempts. Each attempt of a caller has a
// new id, a shorter deadline and perhaps a last event id, so the fingerprint covers only what
// determines the work of a backend server: the caller's organisation, method, host, path and body.
//
// The digest is cryptographic, since a caller who could construct two bodies with one fingerprint
// could get another caller's request quarantined. SHA-256 costs 2.6 µs for a body of 2 KB and 65 µs
// for one of 64 KB (BenchmarkFingerprint).
//
// The fingerprint of a part is its id. It names no organisation, route or body, since a part crashes
// servers whatever else a request holds.
// ================================================================

// Package quarantine records which requests, and which parts of their prompts, crash the backend
// servers that run them, and keeps such requests away from servers.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// fingerprintBytes of the digest are enough to tell requests apart: the probability that any two of
// 2^32 requests share a fingerprint is 2^-65.
const fingerprintBytes = 16

const (
	// partPrefix begins the fingerprints of parts. No digest of a request begins with it by chance.
	partPrefix = "prompt-part:"
	// maxPartID bounds the id in the fingerprint of a part. A longer id is replaced by its digest.
	maxPartID = 64
)

// Fingerprint identifies a request by its content, 16 raw bytes, or a part of prompts by its id; may
// be empty.
type Fingerprint string

// Content is the part of a request that its fingerprint covers.
type Content struct {
	// Organisation is that of the caller; empty where it is not known.
	Organisation string
	// Method, Host and Target (path and query) are as the caller wrote them.
	Method, Host, Target string
	// Body is the complete body.
	Body []byte
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(c Content) Fingerprint {
	digest := sha256.New()
	var length [8]byte
	for _, part := range []string{c.Organisation, c.Method, c.Host, c.Target} {
		// A length before each part keeps different splits of the same text apart.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(c.Body)
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// NewPartFingerprint returns the fingerprint of a part of prompts, which requests name by its id.
func NewPartFingerprint(id string) Fingerprint {
	if len(id) > maxPartID {
		digest := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(digest[:fingerprintBytes])
	}
	return Fingerprint(partPrefix + id)
}

// Part returns the id of a part of prompts; "" if this is the fingerprint of a request.
func (f Fingerprint) Part() string {
	id, isPart := strings.CutPrefix(string(f), partPrefix)
	if !isPart {
		return ""
	}
	return id
}

// String returns the fingerprint of a request in hexadecimal digits, and that of a part with its id,
// for logs.
func (f Fingerprint) String() string {
	if f.Part() != "" {
		return string(f)
	}
	return hex.EncodeToString([]byte(f))
}
