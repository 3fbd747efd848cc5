// ================================================================
// Clients of net/http that apply the same rules to responses as a Connection: for engines, the origin and the
// platform, whose calls may be repeated or use each connection once.
// ================================================================

package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

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
		return &checkedConn{Conn: conn}, nil
	}
	// The bound of net/http is 10 MB.
	base.MaxResponseHeaderBytes = maxResponseHead
	return &transport{base}
}

// CloseIdleConnections closes the connections that serve no request.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and returns its response.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := newRoundTrip(r.Context())
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
