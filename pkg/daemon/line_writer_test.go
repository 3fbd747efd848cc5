package daemon

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	entered chan struct{} // receives a value when a write begins; may be nil
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	select {
	case o.entered <- struct{}{}:
	default:
	}
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

// If the reader of the output stops, lines are dropped, counted and reported, and Write does not
// block.
func TestLineWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	dropped := prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"})
	w := NewLineWriter(output, dropped)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxQueuedBytes / 1024
	for range lines {
		_, _ = w.Write(line)
	}
	var m dto.Metric
	if err := dropped.Write(&m); err != nil {
		t.Fatal(err)
	}
	if n := m.GetCounter().GetValue(); n < lines/3 || n > lines {
		t.Fatalf("%v of %d lines dropped", n, lines)
	}
	close(output.release)
	w.Close()
	<-w.done // Close may time out on a busy machine
	output.mu.Lock()
	defer output.mu.Unlock()
	if !strings.Contains(output.written.String(), `"msg":"log lines dropped"`) {
		t.Fatal("the output does not report the dropped lines")
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	close(output.release)
	w := NewLineWriter(output, prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"}))
	_, _ = w.Write([]byte("last line\n"))
	w.Close()
	output.mu.Lock()
	defer output.mu.Unlock()
	if output.written.String() != "last line\n" {
		t.Fatalf("written: %q", output.written.String())
	}
}

// Lines that are queued while a write blocks were lost if Close was called before that write
// returned.
func TestCloseWritesLinesQueuedDuringABlockedWrite(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	w := NewLineWriter(output, prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"}))
	_, _ = w.Write([]byte("first line\n"))
	<-output.entered
	_, _ = w.Write([]byte("last line\n"))
	go w.Close()
	for !w.isClosing() {
		runtime.Gosched()
	}
	close(output.release)
	<-w.done
	output.mu.Lock()
	defer output.mu.Unlock()
	if output.written.String() != "first line\nlast line\n" {
		t.Fatalf("written: %q", output.written.String())
	}
}
