package entry

import (
	"net"
	"testing"

	"github.com/tidepost/tidepost/internal/rawserver"
)

// Guards against broken answers of the platform that are taken for its list of VMs. The sound one shows what the others lack.
func TestBrokenListsAreRefused(t *testing.T) {
	const list = `[{"name":"vm-1","leaving":true}]`
	for answer, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n" + list:                                   true,
		"HTTP/1.1 000 Unknown\r\n\r\n" + list:                              false,
		"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + list:       false,
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n" + list:                         false,
		"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 600\r\n\r\n" + list:   false,
		"HTTP/1.1 200 OK\r\nContent-Length : 600\r\n\r\n" + list:           false,
		"HTTP/1.1 200 OK\r\nX: cut":                                        false,
		"HTTP/1.1 200 OK\r\n\r\n" + list[:len(list)/2]:                     false,
		"HTTP/1.1 200 OK\r\n\r\n" + list[:len(list)-1] + `,{"name":"vm-2"`: false,
	} {
		l := rawserver.Start(t, rawserver.Answer(answer, rawserver.Close))
		if err := testEntry(t, "http://"+l.Addr().String()).readPlatformList(t.Context()); (err == nil) != sound {
			t.Errorf("%q: %v", answer, err)
		}
	}
}

// Guards against an entry that keeps what the platform sends without end, in a head or a body.
func TestEndlessListsAreNotKept(t *testing.T) {
	lists := map[string]rawserver.Endless{
		"one string":    {Begin: "HTTP/1.1 200 OK\r\n\r\n[{\"name\":\"", Repeated: "x"},
		"many elements": {Begin: "HTTP/1.1 200 OK\r\n\r\n[{}", Repeated: ",{}"},
	}
	answers := rawserver.Merge(rawserver.EndlessHeads(), rawserver.EndlessBodies(), lists)
	rawserver.CheckNotKept(t, answers, rawserver.LongLength, 1, func(t *testing.T, l net.Listener) {
		if testEntry(t, "http://"+l.Addr().String()).readPlatformList(t.Context()) == nil {
			t.Error("a list without end was accepted")
		}
	})
}
