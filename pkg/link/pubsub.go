// ================================================================
// A watermill Publisher and Subscriber over links, which carry heartbeats.
// Requests and chunks do not use them: each needs a stream of its own with flow
// control, and a message router would only copy the data.
// ================================================================

package link

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"github.com/tidepost/tidepost/pkg/failure"
)

// subscriberBuffer is how many messages may be queued for a slow handler. Further
// heartbeats are dropped, since the next one carries the same information and more.
const subscriberBuffer = 1024

// Publisher is a watermill publisher to one address. It keeps one stream per topic and
// reopens it after a failure. It is safe for concurrent use.
type Publisher struct {
	endpoint *Endpoint
	address  string

	mu      sync.Mutex
	streams map[string]*Stream
}

// NewPublisher returns a publisher to the process at address.
func NewPublisher(e *Endpoint, address string) *Publisher {
	return &Publisher{endpoint: e, address: address, streams: map[string]*Stream{}}
}

// Publish sends the payloads of the messages in order. It returns the first error; the
// caller decides whether to resend.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[topic]
	if s != nil && s.IsReplaced() {
		s.Close()
		s = nil
	}
	if s == nil {
		var err error
		s, err = p.endpoint.Open(context.Background(), p.address, KindPublish, topic)
		if err != nil {
			return err
		}
		p.streams[topic] = s
	}
	for _, m := range messages {
		if err := s.Send([]byte(m.Payload)); err != nil {
			s.Close()
			delete(p.streams, topic)
			return unreachable(p.address, err)
		}
	}
	return nil
}

// Close closes the streams.
func (p *Publisher) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.streams {
		s.Close()
	}
	p.streams = map[string]*Stream{}
	return nil
}

// Subscriber is a watermill subscriber to messages that other processes publish to this
// process.
type Subscriber struct {
	endpoint *Endpoint
	closed   chan struct{}
	once     sync.Once
	dropped  atomic.Uint64
}

// NewSubscriber returns a subscriber on an endpoint. All calls to Subscribe must precede
// the endpoint's Serve.
func NewSubscriber(e *Endpoint) *Subscriber {
	return &Subscriber{endpoint: e, closed: make(chan struct{})}
}

// subscription is the channel of one subscribed topic. The router waits until the channel
// is closed, so it must be closed at the end, and never while a stream sends to it.
type subscription struct {
	mu     sync.RWMutex
	closed bool
	out    chan *message.Message
}

// Subscribe returns a channel with the messages of a topic. The channel is closed when the
// context ends or the subscriber is closed.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	n := &subscription{out: make(chan *message.Message, subscriberBuffer)}
	s.endpoint.HandleTopic(KindPublish, topic, func(_ context.Context, stream *Stream) error {
		return s.receiveLoop(stream, n)
	})
	go func() {
		select {
		case <-ctx.Done():
		case <-s.closed:
		}
		n.close()
	}()
	return n.out, nil
}

func (n *subscription) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.closed = true
		close(n.out)
	}
}

// receiveLoop passes the messages of one stream to the subscription.
func (s *Subscriber) receiveLoop(stream *Stream, n *subscription) error {
	for {
		var payload []byte
		err := stream.Receive(&payload)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return failure.Of(err)
		}
		if !n.offer(payload, &s.dropped) {
			return nil
		}
	}
}

// offer queues a payload, or drops it if the buffer is full. It reports false once the
// subscription has ended.
func (n *subscription) offer(payload []byte, dropped *atomic.Uint64) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.closed {
		return false
	}
	select {
	case n.out <- message.NewMessage(watermill.NewShortUUID(), payload):
	default:
		dropped.Add(1)
	}
	return true
}

// Dropped returns how many messages were dropped because the buffer was full.
func (s *Subscriber) Dropped() uint64 { return s.dropped.Load() }

// Close ends all subscriptions. It may be called more than once.
func (s *Subscriber) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
