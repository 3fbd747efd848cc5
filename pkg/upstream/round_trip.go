// ================================================================
// What a client of net/http needs to know of one request to judge its response, and can learn only while it is made:
// which connection it uses, what was received, and whether it is written to its end.
// ================================================================

package upstream

import (
	"context"
	"io"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"
)

// writeReportTimeout bounds the wait for the report that a request is written, once its response has ended.
const writeReportTimeout = time.Second

// roundTrip is what is known of one request. Several connections may be tried for it, one after the other.
type roundTrip struct {
	ctx     context.Context
	written atomic.Pointer[chan error] // gets the result of writing the request to the last connection
	began   atomic.Bool                // a byte of a response has been received
	conn    atomic.Pointer[checkedConn]
	interim atomic.Int32 // interim responses so far
}

func newRoundTrip(ctx context.Context) *roundTrip {
	x := &roundTrip{ctx: ctx}
	x.awaitReport()
	return x
}

// awaitReport has the next report that the request is written count.
func (x *roundTrip) awaitReport() {
	written := make(chan error, 1)
	x.written.Store(&written)
}

// trace returns the hooks that observe the request.
func (x *roundTrip) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              x.start,
		Got1xxResponse:       x.checkInterim,
		GotFirstResponseByte: func() { x.began.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case *x.written.Load() <- info.Err:
			default: // an earlier connection has reported here
			}
		},
	}
}

// start prepares for a response on a connection.
func (x *roundTrip) start(info httptrace.GotConnInfo) {
	x.awaitReport()
	conn, _ := info.Conn.(*checkedConn) // nil with TLS, whose bytes are not those of a head
	x.conn.Store(conn)
	if conn != nil {
		conn.startResponse()
	}
}

// checkInterim returns why an interim response is refused; nil if it is not. With this hook net/http does not bound how
// many there are.
func (x *roundTrip) checkInterim(status int, header textproto.MIMEHeader) error {
	if x.interim.Add(1) >= maxInterimResponses {
		return errTooManyInterim
	}
	return checkHead(status, header, x.headFault())
}

// headFault returns why the bytes of the response's head, as far as they are read, are not sound; nil if they are.
func (x *roundTrip) headFault() error {
	if conn := x.conn.Load(); conn != nil {
		return conn.headFault()
	}
	return nil
}

// roundTripError returns the error of a request without a response. Only one that comes after the first byte of a
// response may quote it.
func (x *roundTrip) roundTripError(err error) error {
	if !x.began.Load() {
		return err
	}
	return unquotedError(err)
}

// isWritten reports whether the request is written to its end. The transport may report that late, since another
// goroutine writes.
func (x *roundTrip) isWritten() bool {
	timeout := time.NewTimer(writeReportTimeout)
	defer timeout.Stop()
	select {
	case err := <-*x.written.Load():
		return err == nil
	case <-timeout.C:
		return false
	case <-x.ctx.Done():
		return false
	}
}

// unframedBody is the body of a response that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	roundTrip *roundTrip
	end       error // nil until the end is reached
}

// Read reads from the body. It returns io.EOF only if the request was written before the body ended.
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.roundTrip.isWritten() {
		err = errRequestNotReceived
	}
	b.end = err
	return n, err
}
