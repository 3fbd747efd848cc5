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

// blockedOutput is an output whose reader has stopped until released.
type blockedOutput struct {
	release chan struct{}
	entered chan struct{} // gets a word at the first write; may be nil
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

// A reader that stops costs dropped lines, counted and told, and nobody waits.
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
	<-w.done // Close gives up on a slow output, and a busy machine is one
	output.mu.Lock()
	defer output.mu.Unlock()
	if !strings.Contains(output.written.String(), `"msg":"log lines dropped"`) {
		t.Fatal("the output does not tell of the dropped lines")
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	close(output.release)
	w := NewLineWriter(output, prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"}))
	_, _ = w.Write([]byte("last words\n"))
	w.Close()
	output.mu.Lock()
	defer output.mu.Unlock()
	if output.written.String() != "last words\n" {
		t.Fatalf("written: %q", output.written.String())
	}
}

// What is queued while the output is stuck was lost when the end came before the
// output went on.
func TestCloseWritesLinesQueuedDuringABlockedWrite(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{}), entered: make(chan struct{}, 1)}
	w := NewLineWriter(output, prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"}))
	_, _ = w.Write([]byte("first words\n"))
	<-output.entered
	_, _ = w.Write([]byte("last words\n"))
	go w.Close()
	for !w.isClosing() {
		runtime.Gosched()
	}
	close(output.release)
	<-w.done
	output.mu.Lock()
	defer output.mu.Unlock()
	if output.written.String() != "first words\nlast words\n" {
		t.Fatalf("written: %q", output.written.String())
	}
}
