package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Writer writes lines by a goroutine of its own, so that whoever logs never waits for whoever reads. Lines that find
// its queue full are left out and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Int64
	done    chan struct{}
}

// NewWriter starts a writer to out with room for so many lines.
func NewWriter(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line; it never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.leftOut.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.leftOut.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "%d lines were left out here, as nobody read them in time\n", n)
		}
		w.out.Write(line)
	}
}

// Close writes what is queued, within a bound. Nothing may be written after it.
func (w *Writer) Close(within time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(within):
	}
}
