package entry

import (
	"testing"

	"github.com/tidepost/tidepost/internal/heapgrowth"
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
	const (
		sent    = 256 << 20
		maxKept = sent / 4
	)
	for name, s := range map[string]rawserver.Script{
		"field":         rawserver.Endless("HTTP/1.1 200 OK\r\nX: ", "x", sent),
		"body":          rawserver.Endless("HTTP/1.1 200 OK\r\n\r\n", "x", sent),
		"one string":    rawserver.Endless("HTTP/1.1 200 OK\r\n\r\n[{\"name\":\"", "x", sent),
		"many elements": rawserver.Endless("HTTP/1.1 200 OK\r\n\r\n[{}", ",{}", sent),
	} {
		t.Run(name, func(t *testing.T) {
			e := testEntry(t, "http://"+rawserver.Start(t, s).Addr().String())
			growth := heapgrowth.Of(func() {
				if e.readPlatformList(t.Context()) == nil {
					t.Error("a list without end was accepted")
				}
			})
			if growth > maxKept {
				t.Errorf("the heap has grown by %d MB; %d MB were sent", growth>>20, sent>>20)
			}
		})
	}
}
