package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, one line an event, with the milliseconds since the start.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, w: bufio.NewWriterSize(f, 1<<16), start: time.Now()}, nil
}

// Addf writes a line.
func (r *Record) Addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%10.2f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.w, format+"\n", args...)
}

// Sayf writes a line to the file and to standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Addf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}
