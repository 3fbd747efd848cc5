package source

import (
	"net"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
	"github.com/tidepost/tidepost/pkg/contract"
)

const manifestJSON = `{"size":1,"chunk_size":1,"chunks":["` + digestOfAByte + `"]}`

// digestOfAByte is the form of a digest.
const digestOfAByte = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

// Guards against broken answers of an origin that are taken for manifests. The sound one shows what the others lack.
func TestBrokenManifestsAreRefused(t *testing.T) {
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                    true,
		"HTTP/1.1 000 Unknown\r\n\r\n":                               false,
		"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":        false,
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n":                          false,
		"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 600\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nX: cut":                                  false,
		"HTTP/1.1 200 OK\r\nContent-Length : 600\r\nA: b\r\n\r\n":    false,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n": false,
	} {
		l := rawserver.Start(t, rawserver.Answer(head+manifestJSON, rawserver.Close))
		if _, err := NewClient("http://"+l.Addr().String()).FetchManifest(t.Context(), "menu", "v1"); (err == nil) != sound {
			t.Errorf("%q: %v", head, err)
		}
	}
}

// Guards against a client that keeps what an origin sends without end, in a head or a body.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	contents := map[string]rawserver.Endless{
		"range": {Begin: "HTTP/1.1 206 Partial Content\r\n\r\n", Repeated: "x"},
		"JSON":  {Begin: "HTTP/1.1 200 OK\r\n\r\n{\"chunks\":[", Repeated: "\"\","},
	}
	m := contract.NewManifest(1, 1, []contract.Digest{{}})
	answers := rawserver.Merge(rawserver.EndlessHeads(), rawserver.EndlessBodies(), contents)
	rawserver.CheckNotKept(t, answers, rawserver.LongLength, 1, func(t *testing.T, l net.Listener) {
		c := NewClient("http://" + l.Addr().String())
		if _, err := c.FetchManifest(t.Context(), "menu", "v1"); err == nil {
			t.Error("a manifest without end was accepted")
		}
		if _, err := c.FetchChunk(t.Context(), "menu", "v1", m, 0); err == nil {
			t.Error("a chunk without end was accepted")
		}
	})
}
