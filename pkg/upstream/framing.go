// ================================================================
// What marks the end of a response body. One that has neither a length nor chunks ends with its
// connection, also where its backend server crashed in the middle of it.
// ================================================================

package upstream

import "net/http"

// Framing is what marks the end of a response body.
type Framing string

// The framings of response bodies.
const (
	// FramedByLength is a response with a length, or without a body.
	FramedByLength Framing = "length"
	// FramedByChunks is a response in chunks, of which the last one is empty.
	FramedByChunks Framing = "chunks"
	// FramedByClose is a response that ends with its connection.
	FramedByClose Framing = "close"
)

// FramingOf returns what marks the end of the body of a response.
func FramingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0 || response.Body == http.NoBody:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}
