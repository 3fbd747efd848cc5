// ================================================================
// A messenger sends one-way messages to peers, each peer's in order from one
// goroutine and over one stream. A message that cannot be sent is dropped, as
// a network would: the protocols that use it send again what is still needed.
// ================================================================

package link

import (
	"context"
	"sync"
	"time"
)

const (
	// outboxSize is how many messages may wait for a peer; more are dropped.
	outboxSize = 256
	// messageTimeout bounds the sending of one message.
	messageTimeout = 3 * time.Second
	// redialPause lies between two dials of a peer that does not answer.
	redialPause = 100 * time.Millisecond
)

// Messenger sends messages of one type as streams of one kind.
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

// Close ends the sending goroutines.
func (m *Messenger[T]) Close() { close(m.done) }

// SetAddress remembers where a peer speaks from, for answers to one whose address
// the sender does not know.
func (m *Messenger[T]) SetAddress(peer, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[peer] = address
}

// Send queues a message and never waits. An empty address means the one that
// the peer last spoke from.
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

// sendLoop keeps one stream to an address.
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
			// Nothing comes back that would tell that the messages are lost.
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

// discardQueued drops what waited for a peer that could not be dialed: it is old.
func discardQueued[T any](outbox <-chan T) {
	for {
		select {
		case <-outbox:
		default:
			return
		}
	}
}
