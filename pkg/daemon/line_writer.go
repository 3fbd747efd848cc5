// ================================================================
// A bounded queue between the logger and standard output, so that logging never blocks. If the
// reader of the output is too slow, lines are dropped and counted; the next write reports the count.
// ================================================================

package daemon

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxQueuedBytes bounds the log lines that wait to be written.
	maxQueuedBytes = 1 << 20
	// flushDelay is how long lines wait so that several share one write system call.
	flushDelay = 20 * time.Millisecond
	// closeTimeout bounds how long Close waits for the last write.
	closeTimeout = 300 * time.Millisecond
)

// LineWriter writes lines to an output that may be slow, without blocking the caller. It is safe for
// concurrent use.
type LineWriter struct {
	output  io.Writer
	dropped prometheus.Counter

	mu              sync.Mutex
	queued          bytes.Buffer
	unreportedDrops int // lines dropped since the last write
	closing         bool
	wake            chan struct{}
	done            chan struct{}
}

// NewLineWriter returns a writer to output that counts dropped lines in dropped. Close ends its
// goroutine.
func NewLineWriter(output io.Writer, dropped prometheus.Counter) *LineWriter {
	w := &LineWriter{output: output, dropped: dropped, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never returns an error.
func (w *LineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.queued.Len()+len(line) > maxQueuedBytes {
		w.unreportedDrops++
		w.dropped.Inc()
	} else {
		w.queued.Write(line)
	}
	w.mu.Unlock()
	Wake(w.wake)
	return len(line), nil
}

func (w *LineWriter) run() {
	defer close(w.done)
	for range w.wake {
		// closing is read before the lines are taken: Close wakes this loop after it sets
		// closing, so lines that were queued in between are written too.
		closing := w.isClosing()
		if !closing {
			time.Sleep(flushDelay)
		}
		_, _ = w.output.Write(w.takeQueued())
		if closing {
			return
		}
	}
}

// takeQueued empties the queue and returns its lines, followed by a line that reports dropped lines,
// if any.
func (w *LineWriter) takeQueued() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := bytes.Clone(w.queued.Bytes())
	w.queued.Reset()
	if w.unreportedDrops > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", w.unreportedDrops)
		w.unreportedDrops = 0
	}
	return lines
}

func (w *LineWriter) isClosing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// Close writes the queued lines and ends the goroutine. It returns after closeTimeout if the output
// blocks.
func (w *LineWriter) Close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	Wake(w.wake)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
