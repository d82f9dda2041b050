package logging

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// stalledReader accepts nothing until resume is closed.
type stalledReader struct {
	resume   chan bool
	accepted bytes.Buffer
}

func (r *stalledReader) Write(b []byte) (int, error) {
	<-r.resume
	return r.accepted.Write(b)
}

// The reader of the log stalls while a process goes on logging. If Write waited for it, the process would stall too.
// Write must return at once, and the dropped lines must be counted where they are missing.
func TestWriteDoesNotBlock(t *testing.T) {
	reader := &stalledReader{resume: make(chan bool)}
	w := NewWriter(reader, 4)
	for range 100 {
		w.Write([]byte("line\n"))
	}
	close(reader.resume)
	for end := time.Now().Add(5 * time.Second); len(w.queue) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.Write([]byte("last\n"))
	w.Close(5 * time.Second)
	out := reader.accepted.String()
	if n := strings.Count(out, "line\n"); n < 4 || n > 5 || !strings.Contains(out, " lines were left out here") ||
		!strings.HasSuffix(out, "last\n") {
		t.Errorf("%d lines were written: %s", n, out)
	}
}

// The reader of the log never resumes while a process ends. Close must return after its timeout all the same, or the
// process would never end.
func TestCloseReturnsAfterTimeout(t *testing.T) {
	w := NewWriter(&stalledReader{resume: make(chan bool)}, 4)
	w.Write([]byte("line\n"))
	began := time.Now()
	w.Close(20 * time.Millisecond)
	if took := time.Since(began); took < 20*time.Millisecond || took > 5*time.Second {
		t.Errorf("closed after %v", took)
	}
}
