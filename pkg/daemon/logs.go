// ================================================================
// Where log lines go: standard output, by way of a bounded queue. Whoever logs
// never waits: when the reader of the output is too slow, lines are dropped and
// counted, and the count is told once lines get through again.
//
// Lines are written together after a short pause: each write costs the process
// a call of the kernel.
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
	// maxQueuedBytes bounds the bytes of log lines that wait.
	maxQueuedBytes = 1 << 20
	// flushDelay is how long lines wait for others to be written with them.
	flushDelay = 20 * time.Millisecond
	// closeTimeout bounds the wait for the last lines at the end of a process.
	closeTimeout = 300 * time.Millisecond
)

// LineWriter writes lines to an output that may be slow. It is safe for
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

// NewLineWriter returns a writer that counts dropped lines.
func NewLineWriter(output io.Writer, dropped prometheus.Counter) *LineWriter {
	w := &LineWriter{output: output, dropped: dropped, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it when too much waits. It never fails.
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
		// Asked before the lines are taken: Close wakes once more after it is set,
		// so what was queued meanwhile is written too.
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

// takeQueued returns what is queued, with a line about those that were dropped.
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

// Close writes what is queued, and gives up on an output that takes too long.
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
