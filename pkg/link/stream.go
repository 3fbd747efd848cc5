// ================================================================
// A stream is one exchange of messages between two processes. yamux multiplexes
// many streams over a connection, each with its own flow control, so that a
// chunk in transit does not delay a token.
// ================================================================

package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// Stream is one exchange. One goroutine may send while another receives.
type Stream struct {
	conn   net.Conn
	clock  *event.Clock
	peer   vm.Identity
	dialed *dialedConn // nil on the accepting side

	mu sync.Mutex
}

// Peer returns the authenticated identity of the peer.
func (s *Stream) Peer() vm.Identity { return s.peer }

// Send encodes v as msgpack and writes it as one message.
func (s *Stream) Send(v any) error {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return failure.New(failure.Internal, "a %T cannot be encoded: %v", v, err)
	}
	return s.write(frameMessage, body)
}

// Fail ends the exchange with a failure.
func (s *Stream) Fail(f *failure.Failure) error {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return err
	}
	return s.write(frameFailure, body)
}

// End marks the exchange as complete.
func (s *Stream) End() error { return s.write(frameEnd, nil) }

func (s *Stream) write(typ frameType, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return writeFrame(s.conn, frame{typ: typ, stamp: s.clock.Next(), body: body})
}

// Receive reads the next message into v. It returns io.EOF after the peer's End, the
// failure that the peer sent with Fail, or io.ErrUnexpectedEOF if the stream ended without
// either. Only io.EOF means that the exchange is complete.
func (s *Stream) Receive(v any) error {
	f, err := readFrame(s.conn)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	s.clock.Observe(f.stamp)
	switch f.typ {
	case frameEnd:
		return io.EOF
	case frameFailure:
		var remote failure.Failure
		if err := decodeBody(f, &remote); err != nil {
			return err
		}
		return &remote
	default:
		return decodeBody(f, v)
	}
}

// OnPeerClosed calls f in its own goroutine once the peer has closed the stream or the
// stream has failed. It is for a side that expects no further message: one that arrives
// also triggers the call.
func (s *Stream) OnPeerClosed(f func()) {
	go func() {
		_, _ = readFrame(s.conn)
		f()
	}()
}

// OnReplaced calls f in its own goroutine once the connection is found silent and another
// one replaces it. The caller calls stop when done. On the accepting side f is never
// called.
func (s *Stream) OnReplaced(f func()) (stop func() bool) {
	if s.dialed == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.dialed.inUse, f)
}

// IsReplaced reports whether another connection has replaced the one of this stream.
func (s *Stream) IsReplaced() bool { return s.dialed != nil && s.dialed.inUse.Err() != nil }

// SetDeadline sets the deadline of all later reads and writes.
func (s *Stream) SetDeadline(t time.Time) { _ = s.conn.SetDeadline(t) }

// Close closes the stream in both directions.
func (s *Stream) Close() { _ = s.conn.Close() }

// closeOnDone closes the stream when the context ends; stop cancels that.
func (s *Stream) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = s.conn.SetDeadline(time.Unix(1, 0))
		_ = s.conn.Close()
	})
}
