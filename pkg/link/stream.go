// ================================================================
// A stream: one exchange of messages between two processes. Many share a
// connection; yamux multiplexes them, each with its own flow control, so a
// chunk in transit does not hold up a token.
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

// Peer returns who is at the other end.
func (s *Stream) Peer() vm.Identity { return s.peer }

// Send writes a message.
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

// End ends the exchange in good order.
func (s *Stream) End() error { return s.write(frameEnd, nil) }

func (s *Stream) write(typ frameType, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return writeFrame(s.conn, frame{typ: typ, stamp: s.clock.Next(), body: body})
}

// Receive reads the next message into v. It returns io.EOF after End, the
// failure that the other side ended with, and io.ErrUnexpectedEOF when the
// stream broke off: only the first of these is a whole exchange.
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

// OnPeerClosed calls f, from a goroutine of its own, once the other side has closed
// the stream or the stream broke. It is for a side that expects no more
// messages: whatever comes ends the wait too.
func (s *Stream) OnPeerClosed(f func()) {
	go func() {
		_, _ = readFrame(s.conn)
		f()
	}()
}

// OnReplaced calls f, from a goroutine of its own, once the connection is found silent
// and another one takes its place; call stop when done. On the accepting side it never
// does.
func (s *Stream) OnReplaced(f func()) (stop func() bool) {
	if s.dialed == nil {
		return func() bool { return true }
	}
	return context.AfterFunc(s.dialed.inUse, f)
}

// IsReplaced tells whether another connection took the place of this stream's.
func (s *Stream) IsReplaced() bool { return s.dialed != nil && s.dialed.inUse.Err() != nil }

// SetDeadline bounds every later read and write.
func (s *Stream) SetDeadline(t time.Time) { _ = s.conn.SetDeadline(t) }

// Close closes the stream in both directions.
func (s *Stream) Close() { _ = s.conn.Close() }

// closeOnDone closes the stream when the context ends; call stop when done.
func (s *Stream) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		_ = s.conn.SetDeadline(time.Unix(1, 0))
		_ = s.conn.Close()
	})
}
