// ================================================================
// The open streams of a connection. When a connection starts to close, their reads and writes end
// at once. yamux would let them poll until the connection is closed: in (*yamux.Stream).Read and
// Write, a session that is shutting down ends the wait, but not the loop around it.
// ================================================================

package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// openStreams is the set of open streams of one connection. Its zero value is an empty set. It is
// safe for concurrent use.
type openStreams struct {
	mu          sync.Mutex
	streams     map[*yamux.Stream]bool
	interrupted bool
}

// add adds a stream, which leaves the set when the returned connection is closed.
func (o *openStreams) add(s *yamux.Stream) net.Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.streams == nil {
		o.streams = map[*yamux.Stream]bool{}
	}
	o.streams[s] = true
	if o.interrupted {
		expire(s)
	}
	return &openStream{s, o}
}

func (o *openStreams) remove(s *yamux.Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.streams, s)
}

// interrupt ends all pending and later reads and writes. Data that has arrived can still be read.
func (o *openStreams) interrupt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.interrupted = true
	for s := range o.streams {
		expire(s)
	}
}

func (o *openStreams) isInterrupted() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.interrupted
}

// setDeadline changes the deadline of a stream unless the set is interrupted.
func (o *openStreams) setDeadline(set func(time.Time) error, t time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.interrupted {
		return nil
	}
	return set(t)
}

func expire(s *yamux.Stream) { _ = s.SetDeadline(time.Unix(1, 0)) }

// openStream is a stream of an openStreams.
type openStream struct {
	*yamux.Stream
	set *openStreams
}

// Read returns io.EOF after an interruption, as yamux does once the connection is closed.
func (s *openStream) Read(b []byte) (int, error) {
	n, err := s.Stream.Read(b)
	if errors.Is(err, yamux.ErrTimeout) && s.set.isInterrupted() {
		err = io.EOF
	}
	return n, err
}

// Write returns yamux.ErrSessionShutdown after an interruption.
func (s *openStream) Write(b []byte) (int, error) {
	n, err := s.Stream.Write(b)
	if errors.Is(err, yamux.ErrTimeout) && s.set.isInterrupted() {
		err = yamux.ErrSessionShutdown
	}
	return n, err
}

func (s *openStream) SetDeadline(t time.Time) error {
	return s.set.setDeadline(s.Stream.SetDeadline, t)
}

func (s *openStream) SetReadDeadline(t time.Time) error {
	return s.set.setDeadline(s.Stream.SetReadDeadline, t)
}

func (s *openStream) SetWriteDeadline(t time.Time) error {
	return s.set.setDeadline(s.Stream.SetWriteDeadline, t)
}

func (s *openStream) Close() error {
	s.set.remove(s.Stream)
	return s.Stream.Close()
}

// interruptingConn is the connection under a yamux session. yamux closes it first when the session
// shuts down.
type interruptingConn struct {
	net.Conn
	streams *openStreams
}

// Close interrupts the streams and closes the connection.
func (c interruptingConn) Close() error {
	c.streams.interrupt()
	return c.Conn.Close()
}
