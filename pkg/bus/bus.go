// ================================================================
// The message router of a process: watermill with typed messages.
//
// A handler has a topic and a type; payloads are msgpack. Messages come from other processes
// through a link.Subscriber. Within a process, functions are called directly, which is
// shorter, type-safe and ordered.
// ================================================================

// Package bus routes messages to typed handlers with watermill.
package bus

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/vmihailenco/msgpack/v5"
)

// The topics.
const (
	TopicHeartbeat      = "heartbeat"
	TopicEntryHeartbeat = "entry_beat"
	TopicConfig         = "config"
	TopicHave           = "have"
)

// Bus is the router of one process.
type Bus struct {
	router *message.Router
}

// New returns a bus without handlers.
func New(logger log.Logger) (*Bus, error) {
	router, err := message.NewRouter(message.RouterConfig{}, logAdapter{logger: logger})
	if err != nil {
		return nil, err
	}
	router.AddMiddleware(middleware.Recoverer)
	return &Bus{router: router}, nil
}

// Handle calls f with every message of a topic that subscriber receives. A payload that
// cannot be decoded as T is logged and dropped, because a redelivery would fail as well.
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

// Run routes messages until the context ends.
func (b *Bus) Run(ctx context.Context) error {
	// A router without handlers does not react to the end of its context.
	stop := context.AfterFunc(ctx, b.Close)
	defer stop()
	return b.router.Run(ctx)
}

// Running is closed once all handlers are subscribed.
func (b *Bus) Running() <-chan struct{} { return b.router.Running() }

// Close stops the router.
func (b *Bus) Close() {
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

// logAdapter writes watermill's log lines to the process's logger, without debug and trace
// lines; info lines get level debug.
type logAdapter struct {
	logger log.Logger
	fields watermill.LogFields
}

func (a logAdapter) Error(msg string, err error, fields watermill.LogFields) {
	_ = level.Error(a.logger).Log(a.keyvals(msg, fields.Add(watermill.LogFields{"err": err}))...)
}

func (a logAdapter) Info(msg string, fields watermill.LogFields) {
	_ = level.Debug(a.logger).Log(a.keyvals(msg, fields)...)
}

func (a logAdapter) Debug(string, watermill.LogFields) {}

func (a logAdapter) Trace(string, watermill.LogFields) {}

func (a logAdapter) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return logAdapter{logger: a.logger, fields: a.fields.Add(fields)}
}

func (a logAdapter) keyvals(msg string, fields watermill.LogFields) []any {
	keyvals := []any{"msg", msg}
	for key, v := range a.fields.Add(fields) {
		keyvals = append(keyvals, key, v)
	}
	return keyvals
}
