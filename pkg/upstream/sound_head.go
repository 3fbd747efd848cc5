// ================================================================
// What a sound head of a response is. net/http accepts more: status codes that do not exist, which it hands on as
// they are. A backend server that sends such a head is in trouble, and nothing in its response can be relied on.
// ================================================================

package upstream

import (
	"net/http"

	"github.com/pkg/errors"
)

const (
	minStatus = 100 // RFC 9110, section 15
	maxStatus = 599
)

// errUnsoundStatus reports a response whose status no server may send here.
var errUnsoundStatus = errors.New("the response has a status that does not exist or was not asked for; check what runs at the backend server's address")

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
