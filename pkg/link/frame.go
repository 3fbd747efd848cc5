// ================================================================
// The frame codec: what goes over one stream of a link.
//
//	length  4 bytes, big endian, of all that follows
//	type    1 byte: message, failure or end
//	wall    8 bytes, the sender's hybrid logical clock
//	counter 4 bytes
//	body    msgpack
//
// The length is checked before a byte is allocated, so a peer that lies about
// it costs a closed stream and no memory.
// ================================================================

package link

import (
	"encoding/binary"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// frameType says what a frame carries.
type frameType uint8

const (
	frameMessage frameType = iota + 1
	frameFailure
	frameEnd
)

const (
	lengthSize = 4
	headerSize = 1 + 8 + 4

	// MaxFrame bounds a frame in bytes. The largest message is a full copy of
	// the configuration, whose largest object is a manifest of 544 KiB.
	MaxFrame = 16 << 20
)

// frame is one frame in memory.
type frame struct {
	typ   frameType
	stamp event.Stamp
	body  []byte
}

// writeFrame writes a frame in one call, so that two never interleave.
func writeFrame(w io.Writer, f frame) error {
	if len(f.body)+headerSize > MaxFrame {
		return failure.New(failure.TooLarge, "a frame of %d bytes; the bound is %d", len(f.body)+headerSize, MaxFrame)
	}
	raw := make([]byte, lengthSize+headerSize, lengthSize+headerSize+len(f.body))
	binary.BigEndian.PutUint32(raw, uint32(headerSize+len(f.body)))
	raw[lengthSize] = byte(f.typ)
	binary.BigEndian.PutUint64(raw[lengthSize+1:], uint64(f.stamp.Wall()))
	binary.BigEndian.PutUint32(raw[lengthSize+9:], f.stamp.Counter())
	_, err := w.Write(append(raw, f.body...))
	return err
}

// readFrame reads one frame. It returns io.EOF only at a frame border.
func readFrame(r io.Reader) (frame, error) {
	var prefix [lengthSize + headerSize]byte
	if _, err := io.ReadFull(r, prefix[:lengthSize]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > MaxFrame {
		return frame{}, failure.New(failure.TooLarge, "a frame of %d bytes; the bound is %d", length, MaxFrame).WithRan(failure.RanUnknown)
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
	if f.typ < frameMessage || f.typ > frameEnd {
		return frame{}, failure.New(failure.BadRequest, "a frame of unknown type %d", f.typ).WithRan(failure.RanUnknown)
	}
	f.body = make([]byte, length-headerSize)
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, io.ErrUnexpectedEOF
	}
	return f, nil
}

// decodeBody reads a frame's message into v. What cannot be read says nothing
// about whether the other side ran a request, so its outcome is unknown.
func decodeBody(f frame, v any) error {
	if err := msgpack.Unmarshal(f.body, v); err != nil {
		return failure.New(failure.BadRequest, "a frame does not hold a %T: %v", v, err).WithRan(failure.RanUnknown)
	}
	return nil
}
