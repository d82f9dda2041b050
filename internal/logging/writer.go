package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer writes lines on a goroutine of its own, which Close ends. Guards against a log reader that stalls, such as a
// full pipe: without it the process that logs would stall too. It holds as Write never blocks; lines that find the
// queue full are dropped, and a line in their place says how many. See row "write to the log: stands still, EPIPE" in
// docs/design/failures.md.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64 // since the last line that reported them
	done    chan struct{}
}

// NewWriter starts a writer to out whose queue holds queueLength lines.
func NewWriter(out io.Writer, queueLength int) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueLength), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
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
			fmt.Fprintf(w.out, "%d lines were left out here, as nobody read them in time\n", n)
		}
		w.out.Write(line)
	}
}

// Close writes the queued lines and returns once that is done or the timeout is over. Write must not be called after
// it.
func (w *Writer) Close(timeout time.Duration) {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
