// ================================================================
// A messenger sends one-way messages to peers, in order for each peer, from one
// goroutine and over one stream per peer. It drops a message that it cannot
// send: the protocols that use it tolerate loss and resend what is needed.
// ================================================================

package link

import (
	"context"
	"sync"
	"time"
)

const (
	// outboxSize is how many messages may be queued for a peer; more are dropped.
	outboxSize = 256
	// messageTimeout limits the sending of one message.
	messageTimeout = 3 * time.Second
	// redialPause is the delay between two dials of a peer that cannot be reached.
	redialPause = 100 * time.Millisecond
)

// Messenger sends messages of one type over streams of one kind. It is safe for concurrent
// use.
type Messenger[T any] struct {
	endpoint *Endpoint
	kind     Kind
	done     chan struct{}

	mu        sync.Mutex
	addresses map[string]string
	outboxes  map[string]chan T
}

// NewMessenger returns a messenger without peers.
func NewMessenger[T any](e *Endpoint, kind Kind) *Messenger[T] {
	return &Messenger[T]{
		endpoint: e, kind: kind, done: make(chan struct{}),
		addresses: map[string]string{}, outboxes: map[string]chan T{},
	}
}

// Close stops the sending goroutines. It must be called once.
func (m *Messenger[T]) Close() { close(m.done) }

// SetAddress records the address of a peer, so that Send can be called without one.
func (m *Messenger[T]) SetAddress(peer, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[peer] = address
}

// Send queues a message and does not block. An empty address means the one last recorded
// by SetAddress; without one, the message is dropped.
func (m *Messenger[T]) Send(peer, address string, message T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" {
		address = m.addresses[peer]
	}
	if address == "" {
		return
	}
	outbox := m.outboxes[address]
	if outbox == nil {
		outbox = make(chan T, outboxSize)
		m.outboxes[address] = outbox
		go m.sendLoop(address, outbox)
	}
	select {
	case outbox <- message:
	default:
	}
}

// sendLoop sends the messages of an outbox over one stream, which it reopens as needed.
func (m *Messenger[T]) sendLoop(address string, outbox <-chan T) {
	var s *Stream
	for {
		var message T
		select {
		case message = <-outbox:
		case <-m.done:
			return
		}
		if s != nil && s.IsReplaced() {
			// No response would show that messages over the silent connection are lost.
			s.Close()
			s = nil
		}
		if s == nil {
			if s = m.dial(address); s == nil {
				discardQueued(outbox)
				continue
			}
		}
		s.SetDeadline(time.Now().Add(messageTimeout))
		if err := s.Send(message); err != nil {
			s.Close()
			s = nil
		}
	}
}

func (m *Messenger[T]) dial(address string) *Stream {
	s, err := m.endpoint.Open(context.Background(), address, m.kind, "")
	if err == nil {
		return s
	}
	select {
	case <-time.After(redialPause):
	case <-m.done:
	}
	return nil
}

// discardQueued drops the messages queued for a peer that could not be dialed, since they
// are outdated.
func discardQueued[T any](outbox <-chan T) {
	for {
		select {
		case <-outbox:
		default:
			return
		}
	}
}
