// ================================================================
// What a sound head of a response is. net/http accepts more: status codes that do not exist, which it hands on as
// they are, and names of fields that hold blanks, which it does not understand, also where they say how the body ends. A
// backend server that sends such a head is in trouble, and nothing in its response can be relied on.
// ================================================================

package upstream

import (
	"fmt"
	"net/http"
	"strings"
)

const (
	minStatus = 100 // RFC 9110, section 15
	maxStatus = 599
)

// headFault is the error of a head that is not sound. It never quotes the head.
type headFault string

// Error returns what is wrong, and the remedy.
func (f headFault) Error() string {
	return string(f) + "; check what runs at the backend server's address"
}

const (
	// errUnsoundStatus reports a status that no server may send here.
	errUnsoundStatus headFault = "the response has a status that does not exist or was not asked for"
	// errUnsoundField reports a field with a name that no field may have.
	errUnsoundField headFault = "the head of the response has a field whose name holds a blank or another character that no name may hold"
	// errEncodedHTTP10 reports a response of HTTP/1.0 that claims to be in chunks (RFC 9112, section 6.1).
	errEncodedHTTP10 headFault = "the response is of HTTP/1.0 and has a Transfer-Encoding"
	// errMalformedHead and errMalformedTrailer stand for the errors of net/http, which quote what the server sent.
	errMalformedHead    headFault = "the head of the response is not valid HTTP/1.1 or too long"
	errMalformedTrailer headFault = "the trailer of the response is not valid HTTP/1.1"
)

var (
	// errHeadTooLarge reports a head that exceeds maxResponseHead.
	errHeadTooLarge = headFault(fmt.Sprintf("the head of the response exceeds %d bytes", maxResponseHead))
	// errTooManyInterim reports interim responses without a final one.
	errTooManyInterim = headFault(fmt.Sprintf("%d interim responses without a final one", maxInterimResponses))
)

// IsSoundStatus reports whether a response may have a status. Responses that switch protocols are not sound, since no
// request asks for one.
func IsSoundStatus(status int) bool {
	return status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// checkHead returns why the head of a response, or of an interim response, is not sound; nil if it is. fault is
// what a headScanner found in its bytes.
func checkHead(status int, header map[string][]string, fault error) error {
	if !IsSoundStatus(status) {
		return errUnsoundStatus
	}
	if fault != nil {
		return fault
	}
	for name := range header {
		if !isToken(name) {
			return errUnsoundField
		}
	}
	return nil
}

// isToken reports whether a name of a field consists of the characters that it may have.
func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenCharacter(name[i]) {
			return false
		}
	}
	return name != ""
}

// isTokenCharacter reports whether a character may be part of a token (RFC 9110, section 5.6.2).
func isTokenCharacter(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
