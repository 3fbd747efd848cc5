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

// maxBuffered is the longest answer that is read before it is passed on.
const maxBuffered = 256 << 10

// bufferedResponse is a whole answer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// isStream tells whether an answer is a stream of events.
func isStream(q *request, answer *http.Response) bool {
	return answer.StatusCode == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") && q.incoming.Method != http.MethodHead
}

func (x *exchange) relayPlain(answer *http.Response) (answered bool) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered))
	if err != nil {
		return x.recordBroken("the answer broke off", err)
	}
	if len(body) == maxBuffered {
		return x.passThrough(answer, body)
	}
	x.conn.Finish(answer)
	x.sawWhole(answer)
	x.recordPlainRun()
	buffered := &bufferedResponse{answer.StatusCode, answer.Header, body}
	if x.request.headWritten {
		return x.recordBroken("a stream went on as "+answer.Status, nil)
	}
	if answer.StatusCode >= http.StatusInternalServerError {
		return x.recordFailedAnswer(buffered)
	}
	x.backend.answered()
	x.gateway.deliver(x.request, buffered)
	return true
}

// recordPlainRun learns how long a request ran at a backend server that is no engine: what an
// engine answers without a stream is no run of its usual length.
func (x *exchange) recordPlainRun() {
	if q := x.request; q.maxRun == 0 {
		q.sawRun(&x.gateway.silenceDetector, time.Now(), time.Since(x.started))
	}
}

// recordFailedAnswer keeps a backend server's own failure; it is passed on if no
// other attempt may be made.
func (x *exchange) recordFailedAnswer(buffered *bufferedResponse) bool {
	q := x.request
	q.mayHaveRun = true
	q.ranAt[x.backend] = true
	q.fallback = buffered
	if q.hasLapsed() {
		x.gateway.recordAttempt(q, attemptVersionExpired, strconv.Itoa(buffered.status))
		return false
	}
	x.backend.failedRequest()
	x.gateway.recordAttempt(q, attemptFailed, strconv.Itoa(buffered.status))
	return false
}

// deliver writes a whole answer.
func (g *Gateway) deliver(q *request, buffered *bufferedResponse) {
	q.writeHead(buffered.status, buffered.header, int64(len(buffered.body)))
	if err := q.write(buffered.body); err != nil {
		g.recordOutcome(q, outcomeUnwritten, err.Error())
		return
	}
	if buffered.status >= http.StatusInternalServerError {
		g.recordOutcome(q, outcomeFailed, strconv.Itoa(buffered.status))
		return
	}
	g.recordOutcome(q, outcomeServed, strconv.Itoa(buffered.status))
}

// passThrough passes a long answer on as it comes.
func (x *exchange) passThrough(answer *http.Response, start []byte) bool {
	q := x.request
	q.writeHead(answer.StatusCode, answer.Header, answer.ContentLength)
	_, err := deadlineWriter{q}.Write(start)
	rest := &progressReader{Reader: answer.Body, watch: x.watch}
	if err == nil {
		_, err = io.Copy(deadlineWriter{q}, rest)
	}
	if err != nil {
		x.conn.Abort()
		q.liveness = x.signAfter(rest.err)
		o, reason := x.gateway.stopOutcomeOr(x.request, outcomeBroken, err.Error())
		x.gateway.recordOutcome(q, o, reason)
		panic(http.ErrAbortHandler)
	}
	x.conn.Finish(answer)
	x.backend.answered()
	x.sawWhole(answer)
	x.recordPlainRun()
	x.gateway.recordOutcome(q, outcomeServed, answer.Status)
	return true
}

// deadlineWriter bounds each write to the caller.
type deadlineWriter struct{ request *request }

// Write bounds and writes.
func (w deadlineWriter) Write(p []byte) (int, error) {
	w.request.setWriteDeadline()
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
	q.recordFirstByte()
	out := q.writer.Header()
	for name, values := range upstream.PassedOn(header) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// net/http would else guess one.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.headWritten = true
	q.detachFromStop()
	q.stop.announceClose(out)
	q.writer.WriteHeader(status)
}

// write writes what is the rest of an answer, and returns once the kernel has it.
func (q *request) write(rest []byte) error {
	if _, err := (deadlineWriter{q}).Write(rest); err != nil {
		return err
	}
	return http.NewResponseController(q.writer).Flush()
}
