// ================================================================
// The handshake of a connection. Each side sends a nonce and its identity, then
// proves that it holds the shared key:
//
//	proof = HMAC-SHA256(key, side || peer's nonce || own nonce || identity)
//
// The side byte prevents an attacker from reflecting a proof to its sender. With
// mutual TLS the certificates authenticate both sides and the key may be empty.
// With neither, the settings allow loopback addresses only, unless unsecured
// links are allowed explicitly.
// ================================================================

package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

const (
	protocolVersion  = 1
	nonceSize        = 16
	handshakeTimeout = 2 * time.Second
	// maxHandshake is the largest size in bytes of a handshake message, which is read
	// before the peer is authenticated.
	maxHandshake = 4 << 10
)

// side is the end of a connection that sends a proof.
type side byte

const (
	dialing   side = 'd'
	accepting side = 'a'
)

// handshake authenticates both sides to each other and returns the identity of the peer.
func handshake(conn net.Conn, own vm.Identity, key []byte, as side) (vm.Identity, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()

	mine := newHello(protocolVersion, own, make([]byte, nonceSize))
	_, _ = rand.Read(mine.nonce)
	var theirs hello
	if err := exchange(conn, mine, &theirs, as); err != nil {
		return vm.Identity{}, err
	}
	if theirs.protocol != protocolVersion {
		return vm.Identity{}, failure.New(failure.BadRequest,
			"%s uses protocol version %d, not %d", theirs.from.ID(), theirs.protocol, protocolVersion)
	}
	if len(theirs.nonce) != nonceSize {
		return vm.Identity{}, failure.New(failure.BadRequest, "the peer sent a nonce of %d bytes", len(theirs.nonce))
	}
	var received proof
	if err := exchange(conn, newProof(proofSum(key, as, theirs.nonce, mine)), &received, as); err != nil {
		return vm.Identity{}, err
	}
	if !hmac.Equal(received.sum, proofSum(key, opposite(as), mine.nonce, theirs)) {
		return vm.Identity{}, failure.New(failure.Unauthorised, "%s at %s does not hold the same shared key", theirs.from.ID(), conn.RemoteAddr())
	}
	return theirs.from, nil
}

func opposite(s side) side {
	if s == dialing {
		return accepting
	}
	return dialing
}

func proofSum(key []byte, as side, challenge []byte, own hello) []byte {
	identity, _ := msgpack.Marshal(own.from)
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{byte(as)})
	mac.Write(challenge)
	mac.Write(own.nonce)
	mac.Write(identity)
	return mac.Sum(nil)
}

// exchange sends mine and reads theirs. The dialing side sends first, so that both sides
// cannot block on an unbuffered connection.
func exchange(conn net.Conn, mine, theirs any, as side) error {
	if as == dialing {
		if err := sendHandshake(conn, mine); err != nil {
			return err
		}
		return receiveHandshake(conn, theirs)
	}
	if err := receiveHandshake(conn, theirs); err != nil {
		return err
	}
	return sendHandshake(conn, mine)
}

func sendHandshake(conn net.Conn, v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	raw := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err = conn.Write(append(raw, body...))
	return err
}

func receiveHandshake(conn net.Conn, v any) error {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(conn, prefix[:]); err != nil {
		return err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxHandshake {
		return failure.New(failure.TooLarge, "a handshake message of %d bytes exceeds the limit of %d", length, maxHandshake)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(conn, body); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return failure.New(failure.BadRequest, "a handshake message cannot be read: %v", err)
	}
	return nil
}
