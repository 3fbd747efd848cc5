// ================================================================
// Reads server-sent events (text/event-stream), whole events only, since a backend server may
// stop in the middle of one.
//
//	id: 12\n
//	data: ...\n
//	\n
// ================================================================

package gateway

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	eventBufferSize = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var eventEnd = []byte("\n\n")

// eventReader splits a response body into whole events.
type eventReader struct {
	body   io.Reader
	buffer []byte
	start  int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, 0, eventBufferSize)}
}

// next returns the whole events received so far, at least one. It returns io.EOF after a
// complete body, and io.ErrUnexpectedEOF if the body ends within an event.
func (r *eventReader) next() ([]byte, error) {
	for {
		if end := bytes.LastIndex(r.buffer[r.start:], eventEnd); end >= 0 {
			events := r.buffer[r.start : r.start+end+len(eventEnd)]
			r.start += end + len(eventEnd)
			return events, nil
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

func (r *eventReader) fill() error {
	rest := len(r.buffer) - r.start
	if rest > maxEvent {
		return errors.Errorf("an event exceeds %d bytes", maxEvent)
	}
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:])
		r.buffer, r.start = r.buffer[:rest], 0
	}
	if cap(r.buffer)-len(r.buffer) < eventBufferSize/2 {
		larger := make([]byte, len(r.buffer), 2*cap(r.buffer)+eventBufferSize)
		copy(larger, r.buffer)
		r.buffer = larger
	}
	n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n > 0 {
		return nil
	}
	if err == io.EOF && rest > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eachEvent calls f with each whole event and its id ("" if it has none) until f returns false.
func eachEvent(events []byte, f func(event []byte, id string) bool) {
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd)
		if end < 0 {
			return
		}
		event := events[:end+len(eventEnd)]
		if !f(event, eventID(event)) {
			return
		}
		events = events[end+len(eventEnd):]
	}
}

var idField = []byte("id:")

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// isNewEvent reports whether a caller whose last event has an id lacks an event with another. One
// without an id always counts as new.
func isNewEvent(id, lastEvent string) bool { return id == "" || isLaterID(id, lastEvent) }

// isLaterID reports whether an event id comes after another. Ids that are not numbers always
// count as later.
func isLaterID(id, after string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(after, 10, 64)
	return errA != nil || errB != nil || a > b
}
