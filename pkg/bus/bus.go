// ================================================================
// The message router of a process: watermill, with typed messages.
//
// A handler names a topic and a type; payloads are msgpack. Topics come from
// other processes through a link.Subscriber. Nothing that stays within a process
// goes this way: a call is shorter, typed, and in order.
// ================================================================

// Package bus wires typed handlers into a watermill router.
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
	line := []any{"msg", msg}
	for key, v := range a.fields.Add(fields) {
		line = append(line, key, v)
	}
	return line
}
