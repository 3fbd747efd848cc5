// ================================================================
// Answers that are no streams. A short one is read whole before a byte of it
// goes to the caller, so that one that breaks off can be tried again; a long
// one goes through as it comes.
// ================================================================

package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidepost/tidepost/pkg/upstream"
)

// maxHeld is the longest answer that is read before it is passed on.
const maxHeld = 256 << 10

// heldAnswer is a whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// isStream tells whether an answer is a stream of events.
func isStream(q *request, answer *http.Response) bool {
	return answer.StatusCode == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") && q.incoming.Method != http.MethodHead
}

func (x *exchange) plain(answer *http.Response) (answered bool) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHeld))
	if err != nil {
		return x.broken("the answer broke off", err)
	}
	if len(body) == maxHeld {
		return x.passThrough(answer, body)
	}
	x.conn.Finish(answer)
	x.sawWhole(answer)
	x.sawPlainRun()
	held := &heldAnswer{answer.StatusCode, answer.Header, body}
	if x.request.begun {
		return x.broken("a stream went on as "+answer.Status, nil)
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return x.failedAnswer(held)
	}
	x.backend.answered()
	x.gateway.deliver(x.request, held)
	return true
}

// sawPlainRun learns how long a request ran at a backend server that is no engine: what an
// engine answers without a stream is no run of its usual length.
func (x *exchange) sawPlainRun() {
	if q := x.request; q.run == 0 {
		q.sawRun(&x.gateway.silences, time.Now(), time.Since(x.started))
	}
}

// failedAnswer keeps a backend server's own failure; it is passed on if no
// other attempt may be made.
func (x *exchange) failedAnswer(held *heldAnswer) bool {
	q := x.request
	q.mayHaveRun = true
	q.ranAt[x.backend] = true
	q.fallback = held
	if q.hasLapsed() {
		x.gateway.note(q, attemptLapsed, strconv.Itoa(held.status))
		return false
	}
	x.backend.failedRequest()
	x.gateway.note(q, attemptFailed, strconv.Itoa(held.status))
	return false
}

// deliver writes a whole answer.
func (g *Gateway) deliver(q *request, held *heldAnswer) {
	q.writeHead(held.status, held.header, int64(len(held.body)))
	if err := q.write(held.body); err != nil {
		g.end(q, outcomeUnwritten, err.Error())
		return
	}
	if held.status >= http.StatusInternalServerError {
		g.end(q, outcomeFailed, strconv.Itoa(held.status))
		return
	}
	g.end(q, outcomeServed, strconv.Itoa(held.status))
}

// passThrough passes a long answer on as it comes.
func (x *exchange) passThrough(answer *http.Response, start []byte) bool {
	q := x.request
	q.writeHead(answer.StatusCode, answer.Header, answer.ContentLength)
	_, err := boundWriter{q}.Write(start)
	rest := &progressReader{Reader: answer.Body, watch: x.watch}
	if err == nil {
		_, err = io.Copy(boundWriter{q}, rest)
	}
	if err != nil {
		x.conn.Abort()
		q.sign = x.signAfter(rest.err)
		o, why := x.gateway.cutOr(x.request, outcomeBroken, err.Error())
		x.gateway.end(q, o, why)
		panic(http.ErrAbortHandler)
	}
	x.conn.Finish(answer)
	x.backend.answered()
	x.sawWhole(answer)
	x.sawPlainRun()
	x.gateway.end(q, outcomeServed, answer.Status)
	return true
}

// boundWriter bounds each write to the caller.
type boundWriter struct{ request *request }

// Write bounds and writes.
func (w boundWriter) Write(p []byte) (int, error) {
	w.request.boundWrite()
	return w.request.writer.Write(p)
}

// progressReader notes that bytes come.
type progressReader struct {
	io.Reader
	watch *watchdog
	err   error // that broke the answer off; nil at its end
}

// Read reads and notes.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.startStreaming()
	}
	if err != io.EOF {
		r.err = err
	}
	return n, err
}

// writeHead writes the head of an answer; length is below 0 when not known.
func (q *request) writeHead(status int, header http.Header, length int64) {
	q.noteFirstByte()
	own := q.writer.Header()
	for name, values := range upstream.PassedOn(header) {
		own[name] = values
	}
	if _, ok := own["Content-Type"]; !ok {
		// net/http would else guess one.
		own["Content-Type"] = nil
	}
	if length >= 0 {
		own.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.begun = true
	q.outliveStop()
	q.stop.tell(own)
	q.writer.WriteHeader(status)
}

// write writes what is the rest of an answer, and returns once the kernel has it.
func (q *request) write(rest []byte) error {
	if _, err := (boundWriter{q}).Write(rest); err != nil {
		return err
	}
	return http.NewResponseController(q.writer).Flush()
}
