// ================================================================
// Streams of events, passed on as they come, whole events only. The head goes
// to the caller with the first event: until then another backend server can
// take over unseen, and after it one can go on behind the last event.
// ================================================================

package gateway

import (
	"io"
	"net/http"
	"time"
)

// stream passes a stream on and tells whether it came to its end.
func (x *exchange) stream(answer *http.Response) (answered bool) {
	q := x.request
	reader := newEventReader(answer.Body)
	var pace paceMeter
	for {
		events, err := reader.next()
		if err == io.EOF {
			return x.streamEnded(answer, &pace)
		}
		if err != nil {
			return x.streamBroken(err)
		}
		if pace.count == 0 {
			x.watch.startStreaming()
			x.backend.begun(x.began, true)
			x.backend.less(q.prefill)
			defer x.backend.less(-q.prefill)
		} else {
			x.watch.recordProgress()
		}
		pace.saw()
		x.listening.receivedEvent(time.Now())
		q.sawEvents(time.Now())
		if err := q.passOn(answer, events); err != nil {
			x.conn.Abort()
			o, why := x.gateway.cutOr(q, outcomeGone, "the caller left the stream: "+err.Error())
			x.gateway.end(q, o, why)
			return true
		}
	}
}

func (x *exchange) streamEnded(answer *http.Response, pace *paceMeter) bool {
	q := x.request
	x.conn.Finish(answer)
	x.backend.answered()
	q.sawRun(&x.gateway.silences, time.Now(), time.Since(x.started))
	x.sawWhole(answer)
	if gap, ok := pace.gap(); ok {
		x.backend.sawPace(gap.Seconds() / usualGap.Seconds())
	}
	if !q.begun {
		q.writeHead(answer.StatusCode, answer.Header, -1)
		q.boundWrite() // of the head alone, when the handler returns
	}
	x.gateway.end(q, outcomeServed, answer.Status)
	return true
}

func (x *exchange) streamBroken(err error) bool {
	if x.watch.fired.Load() {
		return x.broken("the stream stood still", nil)
	}
	return x.broken("the stream broke off", err)
}

// passOn writes the events that the caller does not have yet.
func (q *request) passOn(answer *http.Response, events []byte) error {
	fresh := events
	if q.begun {
		fresh = fresh[:0:0]
	}
	eachEvent(events, func(event []byte, id string) bool {
		if q.begun && (id == "" || later(id, q.lastEvent)) {
			fresh = append(fresh, event...)
		}
		if id != "" {
			q.lastEvent = id
		}
		return true
	})
	if !q.begun {
		q.writeHead(answer.StatusCode, answer.Header, -1)
	}
	if len(fresh) == 0 {
		return nil
	}
	return q.write(fresh)
}

// usualGap is the pause between events that a pace of 1 stands for.
const usualGap = 50 * time.Millisecond

// paceMeter measures the pauses between events.
type paceMeter struct {
	count       int
	first, last time.Time
}

func (m *paceMeter) saw() {
	m.last = time.Now()
	if m.count == 0 {
		m.first = m.last
	}
	m.count++
}

// gap returns the mean pause; false when there were too few.
func (m *paceMeter) gap() (time.Duration, bool) {
	const fewest = 4
	if m.count < fewest {
		return 0, false
	}
	return m.last.Sub(m.first) / time.Duration(m.count-1), true
}
