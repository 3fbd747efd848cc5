// ================================================================
// Relays event streams, whole events only. The response head goes to the caller with the first
// event. Until then the request can be retried at another backend server without the caller noticing;
// afterwards the stream can resume there behind the last event.
// ================================================================

package gateway

import (
	"io"
	"net/http"
	"time"
)

// relayStream relays a stream and reports whether the request is over.
func (x *exchange) relayStream(response *http.Response) (answered bool) {
	q := x.request
	reader := newEventReader(response.Body)
	var gaps eventGapMeter
	for {
		events, err := reader.next()
		if err == io.EOF {
			return x.streamEnded(response, &gaps)
		}
		if err != nil {
			return x.streamBroken(err)
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
		q.recordEvents(time.Now())
		if err := q.relayEvents(response, events); err != nil {
			x.conn.Abort()
			o, reason := x.gateway.stopOutcomeOr(q, outcomeCallerLeft, "the caller left the stream: "+err.Error())
			x.gateway.recordOutcome(q, o, reason)
			return true
		}
	}
}

func (x *exchange) streamEnded(response *http.Response, gaps *eventGapMeter) bool {
	q := x.request
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
		if q.headWritten && (id == "" || isLaterID(id, q.lastEvent)) {
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
