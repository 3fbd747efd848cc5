// ================================================================
// What a sound head of a response is. net/http accepts more: status codes that do not exist, which it hands on as
// they are. A backend server that sends such a head is in trouble, and nothing in its response can be relied on.
// ================================================================

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"

	"github.com/pkg/errors"
)

const (
	minStatus = 100 // RFC 9110, section 15
	maxStatus = 599
)

// errUnsoundStatus reports a response whose status no server may send here.
var errUnsoundStatus = errors.New("the response has a status that does not exist or was not asked for; check what runs at the backend server's address")

// errMalformedHead and errMalformedTrailer stand for the errors of net/http, which quote what the server sent at any length.
var (
	errMalformedHead    = errors.New("the head of the response is not valid HTTP/1.1 or too long; check what runs at the backend server's address")
	errMalformedTrailer = errors.New("the trailer of the response is not valid HTTP/1.1; check what runs at the backend server's address")
)

// IsSoundStatus reports whether a response may have a status. Responses that switch protocols are not sound, since no
// request asks for one.
func IsSoundStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// checkHead returns why the head of a response, or of an interim response, is not sound; nil if it is.
func checkHead(status int) error {
	if !IsSoundStatus(status) {
		return errUnsoundStatus
	}
	return nil
}

// withoutQuotes changes a response so that no message quotes what its server sent: its reason phrase becomes the usual
// one of the status, and a trailer that is refused is not part of the error.
func withoutQuotes(response *http.Response) *http.Response {
	response.Status = strconv.Itoa(response.StatusCode) + " " + http.StatusText(response.StatusCode)
	if FramingOf(response) == FramedByChunks {
		response.Body = chunkedBody{response.Body}
	}
	return response
}

// headError returns the error of reading a head without quoting the head.
func headError(err error) error {
	if isConnectionError(err) {
		return err
	}
	return errMalformedHead
}

// isConnectionError reports whether an error is of a connection or a context, and not of what was received.
func isConnectionError(err error) bool {
	var network net.Error
	if errors.As(err, &network) {
		return true
	}
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled, errHeadTooLarge} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// chunkedBody is the body of a response in chunks.
type chunkedBody struct{ io.ReadCloser }

// Read reads from the body, and returns errors without quoting the trailer.
func (b chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		err = errMalformedTrailer
	}
	return n, err
}
