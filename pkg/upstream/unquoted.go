// ================================================================
// Keeps what a server sent out of messages and errors, which reach callers and logs. The errors of net/http quote what they
// refuse, at any length.
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

// withoutQuotes changes a response so that no message quotes what its server sent: its reason phrase becomes the usual
// one of the status, and a trailer that is refused is not part of the error.
func withoutQuotes(response *http.Response) *http.Response {
	response.Status = strconv.Itoa(response.StatusCode) + " " + http.StatusText(response.StatusCode)
	if FramingOf(response) == FramedByChunks {
		response.Body = chunkedBody{response.Body}
	}
	return response
}

// unquotedError returns the error of reading a head without quoting the head.
func unquotedError(err error) error {
	var fault headFault
	if errors.As(err, &fault) {
		return fault
	}
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
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled} {
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
