package link

import (
	"bytes"
	"strings"
	"testing"

	"github.com/klauspost/compress/s2"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// A large repetitive body is compressed on the wire and arrives unchanged.
func TestLargeBodiesAreCompressed(t *testing.T) {
	body := []byte(strings.Repeat("a route that looks like the others; ", 500))
	var wire bytes.Buffer
	if err := writeFrame(&wire, frame{typ: frameMessage, stamp: event.NewStamp(7, 1), body: body}); err != nil {
		t.Fatal(err)
	}
	if wire.Len() > len(body)/4 {
		t.Fatalf("%d bytes on the wire for a body of %d", wire.Len(), len(body))
	}
	f, err := readFrame(&wire)
	if err != nil || f.typ != frameMessage || !bytes.Equal(f.body, body) {
		t.Fatalf("type %d, %d bytes, %v", f.typ, len(f.body), err)
	}
}

// A compressed body whose stated length exceeds the size limit of a frame is refused before
// memory is allocated for it, and a corrupt one is refused.
func TestDecompressedBodyIsBounded(t *testing.T) {
	var wire bytes.Buffer
	oversized := s2.Encode(nil, make([]byte, MaxFrame+1))
	if err := writeFrame(&wire, frame{typ: frameCompressed, stamp: event.NewStamp(7, 1), body: oversized}); err != nil {
		t.Fatal(err)
	}
	if _, err := readFrame(&wire); !failure.Is(err, failure.TooLarge) {
		t.Fatalf("%v", err)
	}
	wire.Reset()
	if err := writeFrame(&wire, frame{typ: frameCompressed, stamp: event.NewStamp(7, 1), body: []byte("no packed body")}); err != nil {
		t.Fatal(err)
	}
	if _, err := readFrame(&wire); err == nil {
		t.Fatal("a corrupt body was accepted")
	}
}
