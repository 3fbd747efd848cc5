package agent

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/contract"
)

// uploadRequest returns a request for a plain service with a body.
func uploadRequest(body string) contract.Request {
	return contract.NewRequest("a", "larder", "", contract.Digest{}, "ordering", http.MethodPost, "/", "text/plain", []byte(body),
		time.Now().Add(time.Minute).UnixNano(), false, false, 0)
}

// Guards against a service that ends its connection in the middle of an answer while it is still sent the request:
// the part was marked as the whole answer, since the service still runs.
func TestPartAnswerToUnreadUploadIsNotComplete(t *testing.T) {
	const rounds = 20
	upload := uploadRequest(strings.Repeat("u", 16<<20))
	for _, ending := range rawserver.Endings() {
		t.Run(string(ending), func(t *testing.T) {
			l := rawserver.Start(t, rawserver.Answer("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", ending))
			marked := 0
			for range rounds {
				complete, err := isMarkedComplete(engineAt(l), upload)
				if complete || err == nil {
					marked++
				}
			}
			if marked > 0 {
				t.Errorf("%d of %d parts were marked as whole answers", marked, rounds)
			}
		})
	}
}

// An answer to a long upload is complete if the service has received it.
func TestAnswerToReadUploadIsComplete(t *testing.T) {
	l := rawserver.Start(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rawserver.Answer("HTTP/1.1 200 OK\r\n\r\nwhole", rawserver.Close)(conn, r)
	})
	for _, length := range []int{0, 1 << 10, 16 << 20} {
		if complete, err := isMarkedComplete(engineAt(l), uploadRequest(strings.Repeat("u", length))); !complete || err != nil {
			t.Errorf("upload of %d bytes: complete %t, %v", length, complete, err)
		}
	}
}
