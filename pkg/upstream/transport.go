// ================================================================
// Clients of net/http that apply the same rules to responses as a Connection: for engines, the origin and the
// platform, whose calls may be repeated or use each connection once.
// ================================================================

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// writeReportTimeout bounds the wait for the report that a request is written, once its response has ended.
const writeReportTimeout = time.Second

// NewClient returns a client that sends requests with a transport, which it changes; nil stands for DefaultTransport.
// It bounds the heads of responses, and refuses heads that are not sound and bodies that are not complete.
func NewClient(base *http.Transport) *http.Client {
	if base == nil {
		base = DefaultTransport()
	}
	return &http.Client{Transport: newTransport(base)}
}

// DefaultTransport returns a copy of http.DefaultTransport.
func DefaultTransport() *http.Transport { return http.DefaultTransport.(*http.Transport).Clone() }

// transport is the http.RoundTripper of a client.
type transport struct{ base *http.Transport }

func newTransport(base *http.Transport) *transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
	// The bound of net/http is 10 MB.
	base.MaxResponseHeaderBytes = maxResponseHead
	return &transport{base}
}

// CloseIdleConnections closes the connections that serve no request.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and returns its response.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &roundTrip{ctx: r.Context()}
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), x.trace())))
	if err != nil {
		return nil, x.roundTripError(err)
	}
	if err := checkHead(response.StatusCode, response.Header, x.headFault()); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if FramingOf(response) == FramedByClose && !response.Uncompressed {
		response.Body = &unframedBody{ReadCloser: response.Body, roundTrip: x}
	}
	return withoutQuotes(response), nil
}

// roundTrip is what is known of one request. Several connections may be tried for it, one after the other.
type roundTrip struct {
	ctx     context.Context
	written atomic.Pointer[chan error] // gets the result of writing the request to the last connection
	began   atomic.Bool                // a byte of a response has been received
	conn    atomic.Pointer[countedConn]
	interim atomic.Int32 // interim responses so far
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
	written := make(chan error, 1)
	x.written.Store(&written)
	conn, _ := info.Conn.(*countedConn) // nil with TLS, whose bytes are not those of a head
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
	return headError(err)
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

// countedConn is a connection that counts the bytes which are sent, and looks into the heads that are received.
type countedConn struct {
	net.Conn
	sent atomic.Uint64 // those of a write in progress included

	mu      sync.Mutex
	scanner headScanner
}

// startResponse has the connection expect the head of a response.
func (c *countedConn) startResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.startResponse()
}

// headFault returns why the bytes of the last response's head are not sound; nil if they are.
func (c *countedConn) headFault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.fault
}

// Write writes to the connection.
func (c *countedConn) Write(p []byte) (int, error) {
	c.sent.Add(uint64(len(p)))
	return c.Conn.Write(p)
}

// Read reads from the connection. It reports the peer's close as an end only if the peer has received all that was sent.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.scanner.scan(p[:n])
	c.mu.Unlock()
	if err != io.EOF {
		return n, err
	}
	if acknowledged, known := acknowledgedBytes(c.Conn); known && acknowledged < c.sent.Load() {
		return n, errRequestNotReceived
	}
	return n, err
}
