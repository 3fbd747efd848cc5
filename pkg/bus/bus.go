// ================================================================
// The message router of a process: watermill, with typed messages.
//
// A handler names a topic and a type; payloads are msgpack. Topics from other
// processes come through a link.Subscriber, those from within through a Go
// channel; the handler cannot tell which.
// ================================================================

// Package bus wires typed handlers into a watermill router.
package bus

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"
)

// The topics.
const (
	TopicHeartbeat = "heartbeat"
	TopicEntryBeat = "entry_beat"
	TopicConfig    = "config"
	TopicHave      = "have"
)

const channelBuffer = 256

// Bus is the router of one process.
type Bus struct {
	router   *message.Router
	internal *gochannel.GoChannel
}

// New returns a bus without handlers.
func New(logger log.Logger) (*Bus, error) {
	adapter := logAdapter{logger: logger}
	router, err := message.NewRouter(message.RouterConfig{}, adapter)
	if err != nil {
		return nil, err
	}
	router.AddMiddleware(middleware.Recoverer)
	internal := gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: channelBuffer}, adapter)
	return &Bus{router: router, internal: internal}, nil
}

// Handle has f called with every T of a topic that subscriber receives. A
// payload that is no T is logged and dropped: sent again it would be no better.
func Handle[T any](b *Bus, name, topic string, subscriber message.Subscriber, f func(T)) {
	b.router.AddConsumerHandler(name, topic, subscriber, func(m *message.Message) error {
		var v T
		if err := msgpack.Unmarshal(m.Payload, &v); err != nil {
			b.router.Logger().Error("message dropped", err, watermill.LogFields{"topic": topic})
			return nil
		}
		f(v)
		return nil
	})
}

// HandleInternal is Handle for what this process publishes itself.
func HandleInternal[T any](b *Bus, name, topic string, f func(T)) {
	Handle(b, name, topic, b.internal, f)
}

// Publish hands v to the handlers of a topic in this process.
func (b *Bus) Publish(topic string, v any) error {
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	return b.internal.Publish(topic, message.NewMessage(watermill.NewShortUUID(), payload))
}

// Run routes messages until the context ends.
func (b *Bus) Run(ctx context.Context) error {
	// A router without handlers does not notice the end of its context.
	stop := context.AfterFunc(ctx, b.Close)
	defer stop()
	return b.router.Run(ctx)
}

// Running is closed once all handlers are subscribed.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// Close ends the routing.
func (b *Bus) Close() {
	_ = b.internal.Close()
	_ = b.router.Close()
}

// Encode returns v as a watermill message.
func Encode(v any) (*message.Message, error) {
	payload, err := msgpack.Marshal(v)
	if err != nil {
		return nil, err
	}
	return message.NewMessage(watermill.NewShortUUID(), payload), nil
}

// ----------------------------------------------------------------
// Logging

// logAdapter writes watermill's log lines through the process's logger.
type logAdapter struct {
	logger log.Logger
	fields watermill.LogFields
}

func (a logAdapter) Error(msg string, err error, fields watermill.LogFields) {
	_ = level.Error(a.logger).Log(a.line(msg, fields.Add(watermill.LogFields{"err": err}))...)
}

func (a logAdapter) Info(msg string, fields watermill.LogFields) {
	_ = level.Debug(a.logger).Log(a.line(msg, fields)...)
}

func (a logAdapter) Debug(string, watermill.LogFields) {}

func (a logAdapter) Trace(string, watermill.LogFields) {}

func (a logAdapter) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return logAdapter{logger: a.logger, fields: a.fields.Add(fields)}
}

func (a logAdapter) line(msg string, fields watermill.LogFields) []any {
	line := []any{"msg", msg}
	for key, v := range a.fields.Add(fields) {
		line = append(line, key, v)
	}
	return line
}
