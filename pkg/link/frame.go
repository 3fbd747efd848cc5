// ================================================================
// The frame codec. Each message on a stream of a link is one frame:
//
//	length  4 bytes, big endian, of all that follows
//	type    1 byte: message, failure, end or compressed message
//	wall    8 bytes, the sender's hybrid logical clock
//	counter 4 bytes
//	body    msgpack
//
// The length, and the decompressed length of a compressed body, are checked
// before memory is allocated, so a false one costs a closed stream only.
// ================================================================

package link

import (
	"encoding/binary"
	"io"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// frameType is the type of a frame. The numbers are part of the protocol.
type frameType uint8

const (
	frameMessage frameType = iota + 1
	frameFailure
	frameEnd
	frameCompressed
)

const (
	lengthSize = 4
	headerSize = 1 + 8 + 4
	// compressThreshold is the size in bytes from which a body is compressed.
	compressThreshold = 512

	// MaxFrame is the largest size of a frame in bytes. The largest message is a full
	// copy of the configuration, whose largest object is a manifest of 544 KiB.
	MaxFrame = 16 << 20
)

// frame is one decoded frame.
type frame struct {
	typ   frameType
	stamp event.Stamp
	body  []byte
}

// compressed returns the frame with its body compressed with S2 if that saves at least an
// eighth. Every process reads documents and log entries, and links between regions are
// narrow: without compression, 116 followers read 5.8 MB for one configuration change.
func (f frame) compressed() frame {
	if f.typ != frameMessage || len(f.body) < compressThreshold {
		return f
	}
	body := s2.Encode(nil, f.body)
	if len(body) > len(f.body)/8*7 {
		return f
	}
	return frame{frameCompressed, f.stamp, body}
}

// decompressed returns the frame with its original body.
func (f frame) decompressed() (frame, error) {
	if f.typ != frameCompressed {
		return f, nil
	}
	if length, err := s2.DecodedLen(f.body); err != nil || length > MaxFrame {
		return frame{}, failure.New(failure.TooLarge, "a compressed body of %d bytes exceeds the limit of %d", length, MaxFrame).WithRan(failure.RanUnknown)
	}
	body, err := s2.Decode(nil, f.body)
	if err != nil {
		return frame{}, failure.New(failure.BadRequest, "a compressed body cannot be decompressed: %v", err).WithRan(failure.RanUnknown)
	}
	return frame{frameMessage, f.stamp, body}, nil
}

// writeFrame writes a frame in one call of Write, so that two frames never interleave.
func writeFrame(w io.Writer, f frame) error {
	if len(f.body)+headerSize > MaxFrame {
		return failure.New(failure.TooLarge, "a frame of %d bytes exceeds the limit of %d", len(f.body)+headerSize, MaxFrame)
	}
	f = f.compressed()
	raw := make([]byte, lengthSize+headerSize, lengthSize+headerSize+len(f.body))
	binary.BigEndian.PutUint32(raw, uint32(headerSize+len(f.body)))
	raw[lengthSize] = byte(f.typ)
	binary.BigEndian.PutUint64(raw[lengthSize+1:], uint64(f.stamp.Wall()))
	binary.BigEndian.PutUint32(raw[lengthSize+9:], f.stamp.Counter())
	_, err := w.Write(append(raw, f.body...))
	return err
}

// readFrame reads one frame. It returns io.EOF only at a frame boundary.
func readFrame(r io.Reader) (frame, error) {
	var prefix [lengthSize + headerSize]byte
	if _, err := io.ReadFull(r, prefix[:lengthSize]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrame {
		return frame{}, failure.New(failure.TooLarge, "a frame of %d bytes exceeds the limit of %d", length, MaxFrame).WithRan(failure.RanUnknown)
	}
	if length < headerSize {
		return frame{}, failure.New(failure.BadRequest, "a frame of %d bytes is shorter than its header", length).WithRan(failure.RanUnknown)
	}
	if _, err := io.ReadFull(r, prefix[lengthSize:]); err != nil {
		return frame{}, io.ErrUnexpectedEOF
	}
	f := frame{
		typ: frameType(prefix[lengthSize]),
		stamp: event.NewStamp(
			int64(binary.BigEndian.Uint64(prefix[lengthSize+1:])),
			binary.BigEndian.Uint32(prefix[lengthSize+9:])),
	}
	if f.typ < frameMessage || f.typ > frameCompressed {
		return frame{}, failure.New(failure.BadRequest, "a frame of unknown type %d", f.typ).WithRan(failure.RanUnknown)
	}
	f.body = make([]byte, length-headerSize)
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, io.ErrUnexpectedEOF
	}
	return f.decompressed()
}

// decodeBody decodes the message of a frame into v. An unreadable message does not show
// whether the peer ran a request, so the failure has an unknown outcome.
func decodeBody(f frame, v any) error {
	if err := msgpack.Unmarshal(f.body, v); err != nil {
		return failure.New(failure.BadRequest, "a frame cannot be decoded as %T: %v", v, err).WithRan(failure.RanUnknown)
	}
	return nil
}
