package link

import (
	"bytes"
	"strings"
	"testing"

	"github.com/klauspost/compress/s2"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// A large body that repeats itself crosses the link in few bytes and arrives as
// it was.
func TestLargeBodiesAreCompressed(t *testing.T) {
	body := []byte(strings.Repeat("a route that looks like the others; ", 500))
	var wire bytes.Buffer
	if err := writeFrame(&wire, frame{typ: frameMessage, stamp: event.NewStamp(7, 1), body: body}); err != nil {
		t.Fatal(err)
	}
	if wire.Len() > len(body)/4 {
		t.Fatalf("%d bytes on the link for a body of %d", wire.Len(), len(body))
	}
	f, err := readFrame(&wire)
	if err != nil || f.typ != frameMessage || !bytes.Equal(f.body, body) {
		t.Fatalf("type %d, %d bytes, %v", f.typ, len(f.body), err)
	}
}

// A body that says it unpacks to more than a frame may hold takes no memory.
func TestDecompressedBodyIsBounded(t *testing.T) {
	var wire bytes.Buffer
	bomb := s2.Encode(nil, make([]byte, MaxFrame+1))
	if err := writeFrame(&wire, frame{typ: frameCompressed, stamp: event.NewStamp(7, 1), body: bomb}); err != nil {
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
		t.Fatal("a spoilt body was taken")
	}
}
