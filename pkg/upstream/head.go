// ================================================================
// Serialises the head of a request. Header fields that apply to one connection only are
// not forwarded; Content-Length is set from the body.
// ================================================================

package upstream

import (
	"net/http"
	"strconv"
	"strings"
)

// unforwardedFields are the hop-by-hop fields and those that appendHead writes itself.
var unforwardedFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// ForwardedHeader returns a copy of a header without the hop-by-hop fields, including
// those that its Connection field lists, and without Host, Content-Length and Expect.
func ForwardedHeader(h http.Header) http.Header {
	named := map[string]bool{}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	forwarded := make(http.Header, len(h)+4)
	for name, values := range h {
		if !unforwardedFields[name] && !named[name] {
			forwarded[name] = values
		}
	}
	return forwarded
}

// appendHead appends the request line and header of q to b.
func appendHead(b []byte, q Request) []byte {
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(q.Body) > 0 || expectsBody(q.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// expectsBody reports whether requests of a method usually have a body, so that an empty
// one needs Content-Length: 0.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
