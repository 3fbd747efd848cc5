package link

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/tidepost/tidepost/pkg/event"
	"github.com/tidepost/tidepost/pkg/failure"
)

// FuzzReadFrame checks that arbitrary bytes give either a frame that encodes to the same
// bytes or an error, never a panic.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, frame{typ: frameMessage, stamp: event.NewStamp(7, 1), body: []byte("body")}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add(good.Bytes()[:9])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, 9})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := writeFrame(&again, got); err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(data, again.Bytes()) {
			t.Fatalf("%x was read as %x", data, again.Bytes())
		}
	})
}

// Frames over the size limit are refused in both directions, and a truncated frame is
// distinguished from the end of the input.
func TestFrameBounds(t *testing.T) {
	tooLong := []byte{0x7f, 0, 0, 0, 1}
	if _, err := readFrame(bytes.NewReader(tooLong)); !failure.Is(err, failure.TooLarge) {
		t.Errorf("oversized frame: %v", err)
	}
	if _, err := readFrame(strings.NewReader("")); err != io.EOF {
		t.Errorf("empty input: %v", err)
	}
	if _, err := readFrame(bytes.NewReader([]byte{0, 0, 0, 20, 1})); err != io.ErrUnexpectedEOF {
		t.Errorf("truncated frame: %v", err)
	}
	if err := writeFrame(io.Discard, frame{typ: frameMessage, body: make([]byte, MaxFrame)}); !failure.Is(err, failure.TooLarge) {
		t.Errorf("oversized message: %v", err)
	}
}

// A damaged response must not be reported as "not run", since the request may have run and
// the caller would then retry it.
func TestUnreadableFrameHasUnknownOutcome(t *testing.T) {
	for _, data := range [][]byte{{0x7f, 0, 0, 0}, {0, 0, 0, 13, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}} {
		_, err := readFrame(bytes.NewReader(data))
		if failure.Of(err).Ran() == failure.NotRun {
			t.Errorf("%x: %v says not run", data, err)
		}
	}
	var v uint64
	err := decodeBody(frame{body: []byte("no number")}, &v)
	if failure.Of(err).Ran() == failure.NotRun {
		t.Errorf("%v says not run", err)
	}
}
