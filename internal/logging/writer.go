package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer writes lines on its own goroutine, so that a log reader that stalls, such as a full pipe, does not stall the
// process. Lines that don't fit its queue are dropped, and a line in their place gives their number. See row "write to
// the log: blocks, EPIPE" in docs/design/failures.md.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64 // lines dropped since the last report of dropped lines
	done    chan struct{}
}

// NewWriter starts a writer to out with a queue of queueLength lines. Close stops its goroutine.
func NewWriter(out io.Writer, queueLength int) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "%d lines were dropped here because the log reader was too slow\n", n)
		}
		w.out.Write(line)
	}
}

// Close writes the queued lines and returns when that is done or after the timeout. Write must not be called after
// Close.
func (w *Writer) Close(timeout time.Duration) {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
