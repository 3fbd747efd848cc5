// ================================================================
// Relays responses that are not event streams. A short one is read completely before any byte
// goes to the caller, so that the request can be retried if it is cut short; a long one is
// relayed as it arrives.
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

// maxBuffered is the longest response body that is read completely before it is relayed. A failure response that
// is longer is not relayed: no server describes a failure at such length.
const maxBuffered = 256 << 10

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// isStream reports whether a response is an event stream.
func isStream(q *request, response *http.Response) bool {
	return response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") && q.incoming.Method != http.MethodHead
}

func (x *exchange) relayPlain(response *http.Response) (answered bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered))
	if err != nil {
		return x.recordBroken("the response was cut short", err)
	}
	if x.request.headWritten {
		return x.recordBroken("a resumed stream was answered with "+response.Status, nil)
	}
	if x.claimsNotRun(response.StatusCode) {
		return x.recordUnprovenRefusal(response.Status)
	}
	if len(body) == maxBuffered {
		if response.StatusCode >= http.StatusInternalServerError {
			return x.recordBroken("a failure response without an end", nil)
		}
		return x.passThrough(response, body)
	}
	if err := x.confirmEnd(response); err != nil {
		return x.recordBroken("the response ended with its connection", err)
	}
	x.conn.Finish(response)
	x.recordCompletion(response)
	x.recordPlainRun()
	buffered := &bufferedResponse{response.StatusCode, response.Header, body}
	if response.StatusCode >= http.StatusInternalServerError {
		return x.recordFailedAnswer(buffered)
	}
	x.backend.recordSuccess()
	x.gateway.deliver(x.request, buffered)
	return true
}

// claimsNotRun reports whether callers would take a status as the promise that a request which must not run
// twice has not run, although the backend server has not said so.
func (x *exchange) claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !x.request.route.Idempotent()
	}
	return false
}

// recordUnprovenRefusal records a response with such a status. It is not relayed: the request may have run. The
// connection is closed with the attempt.
func (x *exchange) recordUnprovenRefusal(status string) bool {
	q := x.request
	q.mayHaveRun, q.ranAt[x.backend] = true, true
	x.backend.recordRequestError()
	x.gateway.recordAttempt(q, attemptFailed, status+", without saying that the request has not run")
	return false
}

// recordPlainRun records how long a request ran at a backend server without engine slots. The
// duration of an engine's response that is not a stream says nothing about its usual streams.
func (x *exchange) recordPlainRun() {
	if q := x.request; q.maxRun == 0 {
		q.recordRunTime(&x.gateway.silenceDetector, time.Now(), time.Since(x.started))
	}
}

// recordFailedAnswer keeps a backend server's own failure response, which is relayed if no
// other attempt may be made.
func (x *exchange) recordFailedAnswer(buffered *bufferedResponse) bool {
	q := x.request
	q.mayHaveRun = true
	q.ranAt[x.backend] = true
	q.fallback = buffered
	if q.versionDeadlinePassed() {
		x.gateway.recordAttempt(q, attemptVersionExpired, strconv.Itoa(buffered.status))
		return false
	}
	x.backend.recordRequestError()
	x.gateway.recordAttempt(q, attemptFailed, strconv.Itoa(buffered.status))
	return false
}

// deliver writes a complete response.
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

// passThrough relays a long response as it arrives.
func (x *exchange) passThrough(response *http.Response, start []byte) bool {
	q := x.request
	if !x.endWait() {
		return x.recordBroken("the response was cut short", errAbandoned)
	}
	q.writeHead(response.StatusCode, response.Header, response.ContentLength)
	_, err := deadlineWriter{q}.Write(start)
	rest := &progressReader{Reader: response.Body, watch: x.watch}
	if err == nil {
		_, err = io.Copy(deadlineWriter{q}, rest)
	}
	if err == nil {
		err = x.confirmEnd(response)
		rest.err = err
	}
	if err != nil {
		x.conn.Abort()
		q.liveness = x.probeCrash(rest.err)
		o, reason := x.gateway.stopOutcomeOr(x.request, outcomeBroken, err.Error())
		x.gateway.recordOutcome(q, o, reason)
		panic(http.ErrAbortHandler)
	}
	x.conn.Finish(response)
	x.backend.recordSuccess()
	x.recordCompletion(response)
	x.recordPlainRun()
	x.gateway.recordOutcome(q, outcomeServed, response.Status)
	return true
}

// deadlineWriter sets a deadline for each write to the caller.
type deadlineWriter struct{ request *request }

// Write writes with a deadline.
func (w deadlineWriter) Write(p []byte) (int, error) {
	w.request.setWriteDeadline()
	return w.request.writer.Write(p)
}

// progressReader reports each read to the watchdog.
type progressReader struct {
	io.Reader
	watch *watchdog
	err   error // the read error that cut the response short; nil after a complete response
}

// Read reads, and reports progress if bytes came.
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

// writeHead writes the head of a response; a negative length means unknown.
func (q *request) writeHead(status int, header http.Header, length int64) {
	q.recordFirstByte()
	out := q.writer.Header()
	for name, values := range upstream.ForwardedHeader(header) {
		out[name] = values
	}
	if _, ok := out["Content-Type"]; !ok {
		// Without an entry net/http would guess a type.
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

// write writes the rest of a response, and returns once the kernel has it.
func (q *request) write(rest []byte) error {
	if _, err := (deadlineWriter{q}).Write(rest); err != nil {
		return err
	}
	return http.NewResponseController(q.writer).Flush()
}
