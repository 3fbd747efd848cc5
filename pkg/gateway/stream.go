// ================================================================
// Relays event streams, whole events only. The response head goes to the caller with the first
// event. Until then the request can be retried at another backend server without the caller noticing;
// afterwards the stream can resume there behind the last event, also on a standby (standby.go).
// ================================================================

package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// errAbandoned ends an attempt that was aborted while it waited.
var errAbandoned = errors.New("the attempt was aborted")

// errSuperseded ends an attempt whose standby has taken over.
var errSuperseded = errors.New("another attempt has taken over")

// streamPart is what a read of a stream returned: whole events, or why there are no more.
type streamPart struct {
	reader *eventReader
	events []byte
	err    error // io.EOF after a complete stream
}

// isEnd reports whether the stream is complete.
func (p streamPart) isEnd() bool { return p.err == io.EOF }

// receive waits for the next events of a stream. A standby may start meanwhile.
func (x *exchange) receive(reader *eventReader) streamPart {
	x.standbys.beginReceiving()
	events, err := reader.next()
	x.standbys.endReceiving(err != nil)
	return streamPart{reader, events, err}
}

// receiveNew waits for the first events that the caller does not have yet.
func (x *exchange) receiveNew(reader *eventReader) streamPart {
	for {
		part := x.receive(reader)
		if part.err != nil || hasNewEvent(part.events, x.request.lastEvent) {
			return part
		}
	}
}

// hasNewEvent reports whether a caller that has the events up to an id lacks any of the given ones.
func hasNewEvent(events []byte, lastEvent string) (found bool) {
	eachEvent(events, func(_ []byte, id string) bool {
		found = isNewEvent(id, lastEvent)
		return !found
	})
	return found
}

// relayStream relays a stream and reports whether the request is over.
func (x *exchange) relayStream(response *http.Response) (answered bool) {
	return x.relayParts(response, x.receive(newEventReader(response.Body)))
}

// relayParts relays a stream from its first part on.
func (x *exchange) relayParts(response *http.Response, part streamPart) (answered bool) {
	q := x.request
	var gaps eventGapMeter
	for ; ; part = x.receive(part.reader) {
		if part.err != nil && !part.isEnd() {
			return x.streamBroken(part.err)
		}
		if !x.standbys.cancelPending() {
			return x.streamBroken(errSuperseded)
		}
		if !x.endWait() {
			return x.streamBroken(errAbandoned)
		}
		if part.isEnd() {
			return x.streamEnded(response, &gaps)
		}
		if gaps.count == 0 {
			x.watch.startStreaming()
			x.backend.finishWaiting(x.waitEntry, true)
			x.backend.reduceWork(q.prefill)
			defer x.backend.reduceWork(-q.prefill)
		} else {
			x.watch.recordProgress()
		}
		gaps.record()
		x.silenceMonitor.receivedEvent(time.Now())
		if !q.headWritten || hasNewEvent(part.events, q.lastEvent) {
			q.recordEvents(time.Now())
		}
		if err := q.relayEvents(response, part.events); err != nil {
			x.conn.Abort()
			o, reason := x.gateway.stopOutcomeOr(q, outcomeCallerLeft, "the caller left the stream: "+err.Error())
			x.gateway.recordOutcome(q, o, reason)
			return true
		}
	}
}

func (x *exchange) streamEnded(response *http.Response, gaps *eventGapMeter) bool {
	q := x.request
	if err := x.confirmEnd(response); err != nil {
		return x.streamBroken(err)
	}
	x.conn.Finish(response)
	x.backend.recordSuccess()
	q.recordRunTime(&x.gateway.silenceDetector, time.Now(), time.Since(x.started))
	x.recordCompletion(response)
	if meanGap, ok := gaps.mean(); ok {
		x.backend.recordSlowdown(meanGap.Seconds() / nominalGap.Seconds())
	}
	if !q.headWritten {
		q.writeHead(response.StatusCode, response.Header, -1)
		q.setWriteDeadline() // net/http writes the head when the handler returns
	}
	x.gateway.recordOutcome(q, outcomeServed, response.Status)
	return true
}

func (x *exchange) streamBroken(err error) bool {
	if x.watch.fired.Load() {
		return x.recordBroken("the stream stalled", nil)
	}
	return x.recordBroken("the stream was cut short", err)
}

// relayEvents writes the events that the caller does not have yet.
func (q *request) relayEvents(response *http.Response, events []byte) error {
	unsent := events
	if q.headWritten {
		unsent = unsent[:0:0]
	}
	eachEvent(events, func(event []byte, id string) bool {
		if q.headWritten && isNewEvent(id, q.lastEvent) {
			unsent = append(unsent, event...)
		}
		if id != "" {
			q.lastEvent = id
		}
		return true
	})
	if !q.headWritten {
		q.writeHead(response.StatusCode, response.Header, -1)
	}
	if len(unsent) == 0 {
		return nil
	}
	return q.write(unsent)
}

// nominalGap is the gap between events that corresponds to a slowdown of 1.
const nominalGap = 50 * time.Millisecond

// eventGapMeter measures the gaps between events.
type eventGapMeter struct {
	count       int
	first, last time.Time
}

func (m *eventGapMeter) record() {
	m.last = time.Now()
	if m.count == 0 {
		m.first = m.last
	}
	m.count++
}

// mean returns the mean gap; false if there were too few events.
func (m *eventGapMeter) mean() (time.Duration, bool) {
	const minEvents = 4
	if m.count < minEvents {
		return 0, false
	}
	return m.last.Sub(m.first) / time.Duration(m.count-1), true
}
